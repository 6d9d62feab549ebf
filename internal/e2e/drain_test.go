package e2e

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// answer is what a caller sees of one request.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
	// length is the announced length of an answer that is not kept.
	length string
}

// ask sends one request with headers given as pairs on a connection of its own and delivers the answer.
func ask(address, path string, headers ...string) <-chan answer {
	result := make(chan answer, 1)
	go func() {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			result <- answer{err: err}
			return
		}
		for i := 0; i < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := caller.Do(request)
		if err != nil {
			result <- answer{err: err}
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		result <- answer{response.StatusCode, response.Header.Get(header.Outcome), response.Header.Get(header.Reason), string(body), err, ""}
	}()
	return result
}

// drainFleet runs a target and one instance with a drain limit as processes.
func drainFleet(t *testing.T, drain string) *testFleet {
	t.Helper()
	f := newTestFleet(t, 1)
	f.settings = drain
	f.startAll()
	service := fleetService("volontari-report", operator.DefaultSlotsPerTarget, f.target().Address())
	service.Classes = []operator.Class{
		{Name: "summary", PathPrefix: "/summaries", Repeatable: true, TimeoutMS: 60_000, Long: true},
		{Name: "stock", Repeatable: true, TimeoutMS: 30_000},
	}
	f.allAt(f.publish(service), 0)
	return f
}

// publish puts a service into force, waits for the platform if need be, and returns the revision.
func publish(t testing.TB, log logservice.Log, service operator.Service) logservice.Offset {
	t.Helper()
	service.Provision()
	state, err := client.ReadState(context.Background(), log)
	testwait.Until(t, "a reachable platform", func() bool {
		if err != nil {
			state, err = client.ReadState(context.Background(), log)
		}
		return err == nil
	})
	decision, err := client.Publish(context.Background(), log, state, "test", service)
	if err != nil {
		t.Fatal(err)
	}
	return decision.Offset
}

func (f *testFleet) waitInFlight(want int64) {
	f.t.Helper()
	testwait.Until(f.t, "the requests in flight", func() bool {
		status := f.status(0)
		return status != nil && status.InFlight == want
	})
}

func terminate(t *testing.T, instance *exec.Cmd) {
	t.Helper()
	if err := instance.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func expectWhole(t *testing.T, a answer, token string) {
	t.Helper()
	if a.err != nil || a.status != http.StatusOK || a.outcome != "done" || !strings.Contains(a.body, "token="+token+" ") {
		t.Errorf("request %s: %+v", token, a)
	}
}

// Guards against the HTTP server's own exit limit of 5 s: a request that needs 7 s is answered whole, the instance
// meanwhile reports not ready but live and accepts no connection, and the process exits 0.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	f := drainFleet(t, "")
	instance, caller, admin := f.instances[0].command, f.instances[0].caller, f.instances[0].admin
	slow := ask(caller, "/volontari-report/stock", standin.TokenHeader, "slow", standin.ServiceMSHeader, "7000")
	f.waitInFlight(1)
	terminate(t, instance)
	testwait.Until(t, "a closed caller listener", func() bool {
		conn, err := net.Dial("tcp", caller)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	if a := <-ask(admin, "/readyz"); a.status != http.StatusServiceUnavailable || a.body != "not ready: draining\n" {
		t.Errorf("readiness while draining: %+v", a)
	}
	if a := <-ask(admin, "/livez"); a.status != http.StatusOK {
		t.Errorf("liveness while draining: %+v", a)
	}
	expectWhole(t, <-slow, "slow")
	if err := instance.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
}

// Guards against a drain limit that cuts off long classes, or that leaves short ones without an answer.
func TestDrainLimitSparesLongClasses(t *testing.T) {
	f := drainFleet(t, "\n[drain]\nlimit_ms = 500\n")
	instance, caller := f.instances[0].command, f.instances[0].caller
	long := ask(caller, "/volontari-report/summaries", standin.TokenHeader, "long", standin.ServiceMSHeader, "4000")
	short := ask(caller, "/volontari-report/stock", standin.TokenHeader, "short", standin.ServiceMSHeader, "20000")
	f.waitInFlight(2)
	terminate(t, instance)
	if a := <-short; a.err != nil || a.status != http.StatusServiceUnavailable || a.outcome != "unknown" || a.reason != "drain_limit" {
		t.Errorf("short request: %+v", a)
	}
	select {
	case a := <-long:
		t.Errorf("the long request ended with the short one: %+v", a)
	default:
	}
	expectWhole(t, <-long, "long")
	if err := instance.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
}

// Guards against an instance that fails or hangs when it is stopped before its first configuration.
func TestStopBeforeFirstConfiguration(t *testing.T) {
	addresses := freeAddresses(t, 4)
	instance := start(t, "daemon "+writeSettings(t, "i1", addresses[0], addresses[1:4]))
	testwait.Until(t, "a live instance", func() bool { return (<-ask(addresses[2], "/livez")).status == http.StatusOK })
	if a := <-ask(addresses[2], "/readyz"); a.status != http.StatusServiceUnavailable {
		t.Errorf("readiness without configuration: %+v", a)
	}
	if a := <-ask(addresses[1], "/flightdesk/slots"); a.reason != "not_ready" || a.outcome != "not-run" {
		t.Errorf("request without configuration: %+v", a)
	}
	started := time.Now()
	terminate(t, instance)
	if err := instance.Wait(); err != nil {
		t.Fatalf("exit after %s: %v", time.Since(started), err)
	}
}

// runToExit runs an instance that is expected to fail at start and returns its exit status and its log.
func runToExit(t *testing.T, file string) (int, string) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"=daemon "+file)
	var log strings.Builder
	command.Stderr = &log
	var exit *exec.ExitError
	if err := command.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), log.String()
}

// Guards against a panic of the HTTP server, or a silent start, when an address is in use.
func TestAddressInUse(t *testing.T) {
	for i, key := range []string{"listen.caller", "listen.admin", "listen.peer"} {
		t.Run(key, func(t *testing.T) {
			addresses := freeAddresses(t, 4)
			listener, err := net.Listen("tcp", addresses[1+i])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			status, log := runToExit(t, writeSettings(t, "i1", addresses[0], addresses[1:4]))
			if status != 1 || !strings.Contains(log, key) || !strings.Contains(log, "address already in use") || strings.Contains(log, "goroutine") {
				t.Fatalf("exit status %d, log:\n%s", status, log)
			}
		})
	}
}
