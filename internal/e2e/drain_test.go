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

// answer is the result of a request as its caller sees it.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
	// announcedLength is the value of header.AnswerLength: the length of a target's answer that the instance did not store and
	// does not send again.
	announcedLength string
}

// getAsync sends a GET request in the background, on a new connection, and delivers the answer on the returned channel. The
// headers are alternating names and values.
func getAsync(address, path string, headers ...string) <-chan answer {
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
		httpClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := httpClient.Do(request)
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

// startDrainFleet starts a target and one instance, with the given drain settings, and publishes a service with a class of long
// requests and a class of short ones.
func startDrainFleet(t *testing.T, drain string) *testFleet {
	t.Helper()
	f := newTestFleet(t, 1)
	f.extraSettings = drain
	f.startAll()
	service := fleetService("volontari-report", operator.DefaultSlotsPerTarget, f.startTarget().Address())
	service.Classes = []operator.Class{
		{Name: "summary", PathPrefix: "/summaries", Repeatable: true, TimeoutMS: 60_000, Long: true},
		{Name: "stock", Repeatable: true, TimeoutMS: 30_000},
	}
	f.awaitRevision(f.publish(service), 0)
	return f
}

// publish publishes a service, after waiting for the platform if it is not reachable yet, and returns the revision.
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

func (f *testFleet) awaitInFlight(want int64) {
	f.t.Helper()
	testwait.Until(f.t, "the expected number of requests in flight", func() bool {
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

func expectCompleteAnswer(t *testing.T, a answer, token string) {
	t.Helper()
	if a.err != nil || a.status != http.StatusOK || a.outcome != "done" || !strings.Contains(a.body, "token="+token+" ") {
		t.Errorf("request %s: got %+v, want a complete answer", token, a)
	}
}

// Guards against a drain that is cut off by the HTTP server's own exit limit of 5 s. A request that takes 7 s must get its
// complete answer; meanwhile the instance must report live but not ready and refuse connections; then it must exit with 0.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	f := startDrainFleet(t, "")
	instance, caller, admin := f.instances[0].command, f.instances[0].caller, f.instances[0].admin
	slow := getAsync(caller, "/volontari-report/stock", standin.TokenHeader, "slow", standin.ServiceMSHeader, "7000")
	f.awaitInFlight(1)
	terminate(t, instance)
	testwait.Until(t, "the caller listener to close", func() bool {
		conn, err := net.Dial("tcp", caller)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	if a := <-getAsync(admin, "/readyz"); a.status != http.StatusServiceUnavailable || a.body != "not ready: draining\n" {
		t.Errorf("readiness while draining: got %+v, want status 503 and \"not ready: draining\"", a)
	}
	if a := <-getAsync(admin, "/livez"); a.status != http.StatusOK {
		t.Errorf("liveness while draining: got %+v, want status 200", a)
	}
	expectCompleteAnswer(t, <-slow, "slow")
	if err := instance.Wait(); err != nil {
		t.Fatalf("the instance exited with %v", err)
	}
}

// Guards against a drain limit that also applies to long classes, and against one that leaves requests of other classes
// without an answer.
func TestDrainLimitExemptsLongClasses(t *testing.T) {
	f := startDrainFleet(t, "\n[drain]\nlimit_ms = 500\n")
	instance, caller := f.instances[0].command, f.instances[0].caller
	long := getAsync(caller, "/volontari-report/summaries", standin.TokenHeader, "long", standin.ServiceMSHeader, "4000")
	short := getAsync(caller, "/volontari-report/stock", standin.TokenHeader, "short", standin.ServiceMSHeader, "20000")
	f.awaitInFlight(2)
	terminate(t, instance)
	if a := <-short; a.err != nil || a.status != http.StatusServiceUnavailable || a.outcome != "unknown" || a.reason != "drain_limit" {
		t.Errorf("short request: got %+v, want status 503, outcome unknown and reason drain_limit", a)
	}
	select {
	case a := <-long:
		t.Errorf("the long request ended at the drain limit: %+v", a)
	default:
	}
	expectCompleteAnswer(t, <-long, "long")
	if err := instance.Wait(); err != nil {
		t.Fatalf("the instance exited with %v", err)
	}
}

// Guards against an instance that fails or hangs when it is stopped before it has received a configuration.
func TestStopBeforeFirstConfiguration(t *testing.T) {
	addresses := freeAddresses(t, 4)
	instance := startProcess(t, "daemon "+writeSettings(t, "i1", addresses[0], addresses[1:4]))
	testwait.Until(t, "a live instance", func() bool { return (<-getAsync(addresses[2], "/livez")).status == http.StatusOK })
	if a := <-getAsync(addresses[2], "/readyz"); a.status != http.StatusServiceUnavailable {
		t.Errorf("readiness without a configuration: got %+v, want status 503", a)
	}
	if a := <-getAsync(addresses[1], "/flightdesk/slots"); a.reason != "not_ready" || a.outcome != "not-run" {
		t.Errorf("request without a configuration: got %+v, want outcome not-run and reason not_ready", a)
	}
	started := time.Now()
	terminate(t, instance)
	if err := instance.Wait(); err != nil {
		t.Fatalf("the instance exited after %s with %v", time.Since(started), err)
	}
}

// runToExit runs an instance that is expected to fail at startup, and returns its exit status and its log.
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

// Guards against a panic of the HTTP server, or a start without an error, when a listen address is in use.
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
