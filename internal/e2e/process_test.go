package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// Ports for processes that are started later are below the range from which the system assigns ports to outgoing connections
// and to listeners on port 0. Otherwise one of those could take a port before the process that it is meant for listens.
const (
	lowestPort  = 12_000
	highestPort = 32_000
)

// portCounter counts the ports that freeAddresses has tried.
var portCounter atomic.Int64

// processHost returns a loopback address that is reserved for this test process, followed by a colon. Each half, 0 or 1, has
// its own address; the instances in the second half of a partitioned fleet use that of half 1.
func processHost(half int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:", 1+pid>>16+128*half, pid>>8&255, pid&255)
}

// freeAddresses returns addresses whose ports were free when checked. Each test process has its own loopback address, and
// tests that run in parallel get different ports, so that nothing else takes a port before its listener opens.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for range highestPort - lowestPort {
		if len(addresses) == count {
			return addresses
		}
		port := lowestPort + portCounter.Add(1)%(highestPort-lowestPort)
		address := fmt.Sprintf("%s%d", processHost(0), port)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	t.Fatalf("found only %d of %d free ports", len(addresses), count)
	return nil
}

// isFree reports whether a listener can be opened at the address. It holds syscall.ForkLock for reading so that no process is
// forked meanwhile: between fork and exec the child would hold a copy of the listener, and the port would stay in use after
// the listener was closed here.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

func writeSettings(t testing.TB, id, platformAddress string, listen []string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), id+".toml")
	content := fmt.Sprintf(`
[instance]
id = %q
zone = "tz-north-a"

[listen]
caller = %q
admin = %q
peer = %q

[platform]
address = %q

[peer]
secret = "a secret of the test fleet"
`, id, listen[0], listen[1], listen[2], platformAddress)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// get sends a GET request and returns the status and the body of the answer. Targets echo the token in the body and count
// executions by token.
func get(address, path, token string) (int, string, error) {
	a := <-getAsync(address, path, standin.TokenHeader, token)
	return a.status, a.body, a.err
}

// Guards against a request path that works only within one process, and against instances that depend on each other to serve:
// a platform, two targets and three instances run as separate processes, and one of the instances is killed.
func TestServeAcrossProcesses(t *testing.T) {
	addresses := freeAddresses(t, 12)
	platformAddress, targets, listeners := addresses[0], addresses[1:3], addresses[3:]
	startProcess(t, "platform "+platformAddress+" i1="+listeners[1]+" i2="+listeners[4]+" i3="+listeners[7])
	for _, address := range targets {
		startProcess(t, "target "+address)
	}
	killed := startProcess(t, "daemon "+writeSettings(t, "i1", platformAddress, listeners[0:3]))
	startProcess(t, "daemon "+writeSettings(t, "i2", platformAddress, listeners[3:6]))
	startProcess(t, "daemon "+writeSettings(t, "i3", platformAddress, listeners[6:9]))

	log := logservice.NewClient(platformAddress)
	publishFlightdesk(t, log, targets)
	testwait.Until(t, "the revision in force on all instances", func() bool {
		list, err := client.FleetStatus(context.Background(), log)
		return err == nil && len(list) == 3 && allHaveRevision(list, 1)
	})
	for i, address := range []string{listeners[0], listeners[3], listeners[6]} {
		expectEcho(t, address, fmt.Sprintf("before-%d", i))
	}
	if err := killed.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		expectEcho(t, listeners[3], fmt.Sprintf("after-%d", i))
	}
}

func publishFlightdesk(t testing.TB, log logservice.Log, targets []string) {
	t.Helper()
	publish(t, log, fleetService("flightdesk", operator.DefaultSlotsPerTarget, targets...))
}

func allHaveRevision(list []client.InstanceStatus, revision logservice.Offset) bool {
	for _, s := range list {
		if s.Status == nil || s.Status.Revision < revision {
			return false
		}
	}
	return true
}

func expectEcho(t *testing.T, address, token string) {
	t.Helper()
	status, body, err := get(address, "/flightdesk/slots?day=sat", token)
	if err != nil || status != http.StatusOK || !strings.Contains(body, "GET /slots?day=sat token="+token+" ") {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
}
