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

// departureTime is the stated time in which all instances know of a departure.
const departureTime = 3 * time.Second

// zoneFleet is a fleet of six instances and four targets in two availability zones. All of the second zone are processes
// that can be frozen, which is how a cut looks from the other side: connections stay open and nothing comes back.
type zoneFleet struct {
	*testFleet
	second          []*exec.Cmd
	leaving, stays  *standin.Target
	answered, asked [2]atomic.Int64
}

func newZoneFleet(t *testing.T) *zoneFleet {
	f := &zoneFleet{testFleet: newTestFleet(t, 6)}
	f.leaving, f.stays = f.target(), f.target()
	addresses := freeAddresses(t, 2)
	for _, address := range addresses {
		f.second = append(f.second, start(t, "target "+address))
	}
	for i := range f.instances {
		f.start(i, f.address)
		if i >= 3 {
			f.second = append(f.second, f.instances[i].command)
		}
	}
	service := fleetService("flightdesk", 6, f.leaving.Address(), f.stays.Address())
	service.Zones = append(service.Zones, "tz-north-b")
	for _, address := range addresses {
		service.Targets = append(service.Targets, operator.Target{Address: address, Zone: "tz-north-b"})
	}
	service.Classes[0].TimeoutMS = 1000
	f.allAt(f.publish(service), f.all()...)
	waitForMembers(f.testFleet)
	return f
}

func (f *zoneFleet) signalSecond(s syscall.Signal) {
	for _, process := range f.second {
		sendSignal(f.t.(*testing.T), process, s)
	}
}

// callUntil sends lookups through an instance, each with its own token, and counts those of its zone.
func (f *zoneFleet) callUntil(i int, stop <-chan struct{}) {
	zone := i / 3
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		token := fmt.Sprintf("%d-%d", i, j)
		f.asked[zone].Add(1)
		a := <-ask(f.instances[i].caller, "/flightdesk/slots", standin.TokenHeader, token)
		if a.status != http.StatusOK {
			continue
		}
		f.answered[zone].Add(1)
		if !strings.Contains(a.body, "token="+token+" ") {
			f.t.Errorf("the answer to %s is %q", token, a.body)
		}
	}
}

// Guards against a target that leaves while its zone is cut off from the other one: instances that did not hear of the
// departure, because they were on the other side, must not send to it after the cut has ended, and the remaining zone
// must serve meanwhile.
func TestZoneIsCutWhileTargetLeaves(t *testing.T) {
	f := newZoneFleet(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range f.instances {
		callers.Go(func() { f.callUntil(i, stop) })
	}
	testwait.Until(t, "requests at the target", func() bool { return executions(f.leaving) > 0 })
	f.signalSecond(syscall.SIGSTOP)
	f.leaving.SetFaults(standin.TargetFaults{Draining: true})
	time.Sleep(departureTime)
	f.expectNoRequests("during the cut")
	if f.answered[0].Load() == 0 {
		t.Error("the remaining zone answers nothing")
	}
	f.leaving.SetFaults(standin.TargetFaults{})
	f.signalSecond(syscall.SIGCONT)
	time.Sleep(departureTime)
	f.expectNoRequests("after the cut")
	close(stop)
	callers.Wait()
}

// expectNoRequests counts the requests at the leaving target and the answers in each zone for a second.
func (f *zoneFleet) expectNoRequests(when string) {
	f.t.Helper()
	ran := executions(f.leaving)
	var asked, answered [2]int64
	for zone := range asked {
		asked[zone], answered[zone] = -f.asked[zone].Load(), -f.answered[zone].Load()
	}
	time.Sleep(time.Second)
	for zone := range asked {
		asked[zone] += f.asked[zone].Load()
		answered[zone] += f.answered[zone].Load()
	}
	f.t.Logf("%s: %v asked, %v answered, by zone", when, asked, answered)
	if now := executions(f.leaving); now != ran {
		f.t.Errorf("%s, %d requests went to the target that leaves", when, now-ran)
	}
}
