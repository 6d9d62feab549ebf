package e2e

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
	"github.com/basillink/basillink/operator"
)

// departureLimit is the required maximum time until all instances know of a departure.
const departureLimit = 3 * time.Second

// zoneFleet is a fleet of six instances and four targets in two availability zones. All instances and targets of the second zone
// are processes that can be frozen, which looks like a network partition to the first zone: connections stay open and nothing
// is received.
type zoneFleet struct {
	*testFleet
	secondZone         []*exec.Cmd
	departing, staying *standin.Target
	answered, sent     [2]atomic.Int64
}

func newZoneFleet(t *testing.T) *zoneFleet {
	f := &zoneFleet{testFleet: newTestFleet(t, 6)}
	f.departing, f.staying = f.startTarget(), f.startTarget()
	addresses := freeAddresses(t, 2)
	for _, address := range addresses {
		f.secondZone = append(f.secondZone, startProcess(t, "target "+address))
	}
	for i := range f.instances {
		f.startInstance(i, f.address)
		if i >= 3 {
			f.secondZone = append(f.secondZone, f.instances[i].command)
		}
	}
	service := fleetService("flightdesk", 6, f.departing.Address(), f.staying.Address())
	service.Zones = append(service.Zones, "tz-north-b")
	for _, address := range addresses {
		service.Targets = append(service.Targets, operator.Target{Address: address, Zone: "tz-north-b"})
	}
	service.Classes[0].TimeoutMS = 1000
	f.awaitRevision(f.publish(service), f.allInstances()...)
	awaitMembers(f.testFleet)
	return f
}

func (f *zoneFleet) signalSecondZone(s syscall.Signal) {
	for _, process := range f.secondZone {
		sendSignal(f.t.(*testing.T), process, s)
	}
}

// sendLookupsUntil sends lookups through an instance until stop is closed, each with its own token, and adds them and those
// answered to the counts of the instance's zone.
func (f *zoneFleet) sendLookupsUntil(i int, stop <-chan struct{}) {
	zone := i / 3
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		token := fmt.Sprintf("%d-%d", i, j)
		f.sent[zone].Add(1)
		a := <-getAsync(f.instances[i].caller, "/flightdesk/slots", standin.TokenHeader, token)
		if a.status != http.StatusOK {
			continue
		}
		f.answered[zone].Add(1)
		if !strings.Contains(a.body, "token="+token+" ") {
			f.t.Errorf("the answer to request %s has the body %q", token, a.body)
		}
	}
}

// Guards against requests to a target that departed during a network partition between the availability zones. Instances in the
// other zone could not learn of the departure and must not send to the target once the partition has ended. The target's own
// zone must keep serving meanwhile.
func TestZonePartitionWhileTargetDrains(t *testing.T) {
	f := newZoneFleet(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range f.instances {
		callers.Go(func() { f.sendLookupsUntil(i, stop) })
	}
	testwait.Until(t, "requests at the departing target", func() bool { return executions(f.departing) > 0 })
	f.signalSecondZone(syscall.SIGSTOP)
	f.departing.SetFaults(standin.TargetFaults{Draining: true})
	time.Sleep(departureLimit)
	f.expectNoRequests("during the partition")
	if f.answered[0].Load() == 0 {
		t.Error("the first zone answered no request during the partition")
	}
	f.departing.SetFaults(standin.TargetFaults{})
	f.signalSecondZone(syscall.SIGCONT)
	time.Sleep(departureLimit)
	f.expectNoRequests("after the partition")
	close(stop)
	callers.Wait()
}

// expectNoRequests fails the test if the departing target runs a request within a second, and logs the requests and answers of
// each zone in that time.
func (f *zoneFleet) expectNoRequests(when string) {
	f.t.Helper()
	before := executions(f.departing)
	var sent, answered [2]int64
	for zone := range sent {
		sent[zone], answered[zone] = -f.sent[zone].Load(), -f.answered[zone].Load()
	}
	time.Sleep(time.Second)
	for zone := range sent {
		sent[zone] += f.sent[zone].Load()
		answered[zone] += f.answered[zone].Load()
	}
	f.t.Logf("%s: %v requests sent, %v answered, by zone", when, sent, answered)
	if after := executions(f.departing); after != before {
		f.t.Errorf("%s, %d requests reached the departing target", when, after-before)
	}
}
