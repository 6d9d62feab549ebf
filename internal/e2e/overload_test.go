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

// Guards against a caller that starves others. One caller keeps 300 requests pending at an instance whose two targets run
// twelve at a time; none of the requests of another caller, which sends one at a time, may be refused.
func TestFloodingCallerDoesNotStarveOthers(t *testing.T) {
	f := newTestFleet(t, 1)
	f.startAll()
	first, second := f.startTarget(), f.startTarget()
	for _, target := range []*standin.Target{first, second} {
		target.SetFaults(standin.TargetFaults{ServiceTime: 2 * time.Millisecond})
	}
	f.awaitRevision(f.publish(fleetService("flightdesk", 6, first.Address(), second.Address())), 0)
	address := f.instances[0].caller
	const floodRequests, politeRequests, floodWorkers = 6000, 60, 300
	var refused atomic.Int64
	var flood sync.WaitGroup
	for range floodWorkers {
		flood.Go(func() {
			for range floodRequests / floodWorkers {
				if a := <-getAsync(address, "/flightdesk/slots", header.Caller, "flood"); a.reason != "" {
					refused.Add(1)
				}
			}
		})
	}
	for i := range politeRequests {
		if a := <-getAsync(address, "/flightdesk/slots", header.Caller, "polite"); a.status != http.StatusOK {
			t.Errorf("request %d of the caller that sends one at a time: got %+v, want status 200", i, a)
		}
	}
	flood.Wait()
	if refused.Load() == 0 {
		t.Error("no request of the flooding caller was refused, so the test caused no contention")
	}
}
