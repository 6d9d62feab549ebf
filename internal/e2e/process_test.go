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

// Ports of processes that are started later lie below the range from which the system takes the ports of outgoing
// connections and of listeners on port 0; otherwise one of those takes a port before its process opens it.
const (
	lowestPort  = 12_000
	highestPort = 32_000
)

// lastPort is the port that freeAddresses returned last.
var lastPort atomic.Int64

// processHost returns a loopback address of this test process, with a colon. Half 1 is the one of the instances on the
// other side of a divided fleet.
func processHost(half int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:", 1+pid>>16+128*half, pid>>8&255, pid&255)
}

// freeAddresses returns addresses with ports that were free a moment ago. Each test process has a loopback address of its
// own, and tests that run in parallel get the ports in turn, so that nothing else takes a port before its listener opens.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for range highestPort - lowestPort {
		if len(addresses) == count {
			return addresses
		}
		port := lowestPort + lastPort.Add(1)%(highestPort-lowestPort)
		address := fmt.Sprintf("%s%d", processHost(0), port)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	t.Fatalf("only %d of %d ports are free", len(addresses), count)
	return nil
}

// isFree opens and closes a listener. No process is started meanwhile: between fork and exec it would have a copy of the
// listener, and the port would be in use after the listener was closed here.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

func writeSettings(t testing.TB, id, platformAddress string, listen []string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), id+".toml")
	text := fmt.Sprintf(`
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
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// get sends one lookup and returns the status and the body.
func get(address, path, token string) (int, string, error) {
	got := <-ask(address, path, standin.TokenHeader, token)
	return got.status, got.body, got.err
}

// Guards against a whole path that works only inside one process: a platform, two targets and three instances
// run as separate processes, and killing one instance must not keep another from serving.
func TestServeAcrossProcesses(t *testing.T) {
	addresses := freeAddresses(t, 12)
	platformAddress, targets, listeners := addresses[0], addresses[1:3], addresses[3:]
	start(t, "platform "+platformAddress+" i1="+listeners[1]+" i2="+listeners[4]+" i3="+listeners[7])
	for _, address := range targets {
		start(t, "target "+address)
	}
	first := start(t, "daemon "+writeSettings(t, "i1", platformAddress, listeners[0:3]))
	start(t, "daemon "+writeSettings(t, "i2", platformAddress, listeners[3:6]))
	start(t, "daemon "+writeSettings(t, "i3", platformAddress, listeners[6:9]))

	log := logservice.NewClient(platformAddress)
	publishFlightdesk(t, log, targets)
	testwait.Until(t, "the revision in force on all instances", func() bool {
		list, err := client.FleetStatus(context.Background(), log)
		return err == nil && len(list) == 3 && allAt(list, 1)
	})
	for i, address := range []string{listeners[0], listeners[3], listeners[6]} {
		expectEcho(t, address, fmt.Sprintf("before-%d", i))
	}
	if err := first.Process.Kill(); err != nil {
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

func allAt(list []client.InstanceStatus, revision logservice.Offset) bool {
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
