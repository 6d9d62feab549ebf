package e2e

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/standin"
)

// Guards against a caller that starves others: one caller keeps 300 requests waiting at an instance whose two targets
// run twelve at a time, and another with one request at a time must not be refused once.
func TestFloodingCallerDoesNotStarveOthers(t *testing.T) {
	f := newTestFleet(t, 1)
	f.startAll()
	first, second := f.target(), f.target()
	for _, target := range []*standin.Target{first, second} {
		target.SetFaults(standin.TargetFaults{ServiceTime: 2 * time.Millisecond})
	}
	f.allAt(f.publish(fleetService("flightdesk", 6, first.Address(), second.Address())), 0)
	address := f.instances[0].caller
	const floodRequests, politeRequests, floodWorkers = 6000, 60, 300
	var refused atomic.Int64
	var flood sync.WaitGroup
	for range floodWorkers {
		flood.Go(func() {
			for range floodRequests / floodWorkers {
				if got := <-ask(address, "/flightdesk/slots", header.Caller, "flood"); got.reason != "" {
					refused.Add(1)
				}
			}
		})
	}
	for i := range politeRequests {
		if got := <-ask(address, "/flightdesk/slots", header.Caller, "polite"); got.status != http.StatusOK {
			t.Errorf("request %d of the polite caller: %+v", i, got)
		}
	}
	flood.Wait()
	if refused.Load() == 0 {
		t.Error("no request of the flooding caller was refused; the test did not bring about contention")
	}
}
