package e2e

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/standin"
)

// startInProcess runs a platform, targets and one instance in this process and returns the caller address.
func startInProcess(t *testing.T, targets int, faults standin.TargetFaults) (string, []*standin.Target, platform.Log) {
	t.Helper()
	addresses := freeAddresses(t, 4)
	s, err := settings.Load(writeSettings(t, "i1", addresses[0], addresses[1:4]))
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewPlatformServer(addresses[0], standin.NewLog(), standin.NewList(0))
	go func() { _ = server.Run() }()
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-stopped
		_ = server.Shutdown(context.Background())
	})
	list := make([]*standin.Target, targets)
	for i := range list {
		if list[i], err = standin.NewTarget("127.0.0.1:0", 6); err != nil {
			t.Fatal(err)
		}
		list[i].SetFaults(faults)
		go func() { _ = list[i].Run() }()
		t.Cleanup(func() { _ = list[i].Close() })
	}
	return addresses[1], list, platform.NewClient(addresses[0])
}

func targetAddresses(targets []*standin.Target) []string {
	addresses := make([]string, len(targets))
	for i, target := range targets {
		addresses[i] = target.Address()
	}
	return addresses
}

// Guards against a caller that starves others: one caller keeps 300 requests waiting at an instance whose two targets
// run twelve at a time, and another with one request at a time must not be refused once.
func TestFloodingCallerDoesNotStarveOthers(t *testing.T) {
	address, targets, log := startInProcess(t, 2, standin.TargetFaults{ServiceTime: 2 * time.Millisecond})
	publishFlightdesk(t, log, targetAddresses(targets))
	eventually(t, "a served request", func() bool {
		status, _, err := get(address, "/flightdesk/slots", "first")
		return err == nil && status == http.StatusOK
	})
	const floodRequests, politeRequests, floodWorkers = 6000, 60, 300
	var refused atomic.Int64
	var flood sync.WaitGroup
	for range floodWorkers {
		flood.Go(func() {
			for range floodRequests / floodWorkers {
				if status, why := getAs(address, "flood"); status != http.StatusOK && why != "" {
					refused.Add(1)
				}
			}
		})
	}
	for i := range politeRequests {
		if status, why := getAs(address, "polite"); status != http.StatusOK {
			t.Errorf("request %d of the polite caller: status %d, reason %q", i, status, why)
		}
	}
	flood.Wait()
	if refused.Load() == 0 {
		t.Error("no request of the flooding caller was refused; the test did not bring about contention")
	}
}

// getAs sends one lookup under a caller's name and returns the status and the reason.
func getAs(address, caller string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/flightdesk/slots", nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set(header.Caller, caller)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get(header.Reason)
}
