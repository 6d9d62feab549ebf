package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/testwait"
)

// countUnreachableTargets returns the number of target processes that do not answer.
func (f *bookingFleet) countUnreachableTargets() int {
	count := 0
	for _, address := range f.targets {
		response, err := http.Get("http://" + address + "/load")
		if err != nil {
			count++
			continue
		}
		_ = response.Body.Close()
	}
	return count
}

// sendLookupsUntil sends lookups that crash no target through all instances until stop is closed. It returns the number of
// answers by outcome followed by reason.
func (f *bookingFleet) sendLookupsUntil(stop <-chan struct{}) map[string]int {
	reasons := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/banco-app/stock?item=%d", i)
				a := <-getAsync(f.callers[n%len(f.callers)], path, standin.TokenHeader, fmt.Sprintf("lookup-%d-%d", i, n), standin.ServiceMSHeader, "10")
				mu.Lock()
				reasons[a.outcome+a.reason]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return reasons
}

// restartInstance kills an instance, starts it again and waits until it serves.
func (f *bookingFleet) restartInstance(t *testing.T, i int) {
	t.Helper()
	f.stop(i, syscall.SIGKILL)
	f.startInstance(i, f.address)
	testwait.Until(t, "the restarted instance to serve", func() bool {
		return (<-getAsync(f.callers[i], "/banco-app/stock?item=0")).status == http.StatusOK
	})
}

// markPropagationTime is the required maximum time until a rumor, such as a crash mark, reaches all of 20 instances.
const markPropagationTime = 1400 * time.Millisecond

// Guards against a request that crashes one target after another because its caller resends it, and against refusing other
// requests as suspects because they were in flight on the same targets.
func TestRequestThatCrashesTargets(t *testing.T) {
	const targets, sends = 8, 6
	cases := []struct {
		name     string
		ticketed bool
		parallel bool
		// restart restarts the last instance before the final send, which goes through that instance.
		restart   bool
		instances int
		// maxCrashed is the required limit: two crashes in the whole fleet if the crash marks propagate between the sends,
		// and two for each instance that receives a copy of the request before that.
		maxCrashed int
	}{
		{name: "lookup resent", instances: 2, maxCrashed: 2},
		{name: "booking resent", ticketed: true, instances: 2, maxCrashed: 2},
		{name: "lookup sent through both instances at once", parallel: true, instances: 2, maxCrashed: 4},
		{name: "lookup sent through three instances, one of which restarts", restart: true, instances: 3, maxCrashed: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startDefaultBookingFleet(t, c.instances, targets, false)
			stop, unrelated := make(chan struct{}), make(chan map[string]int)
			go func() { unrelated <- f.sendLookupsUntil(stop) }()
			send := func(i int) answer {
				address := f.callers[i%c.instances]
				if c.ticketed {
					return f.book(address, "bad", issueTicket(address), callTimeout, standin.FaultHeader, string(standin.FaultCrash))
				}
				return <-getAsync(address, "/banco-app/bad", standin.FaultHeader, string(standin.FaultCrash), header.Attempts, "8")
			}
			for i := range sends {
				var wait sync.WaitGroup
				if c.parallel {
					wait.Go(func() { send(i + 1) })
				}
				send(i)
				wait.Wait()
				time.Sleep(markPropagationTime)
			}
			if c.restart {
				f.restartInstance(t, c.instances-1)
				time.Sleep(markPropagationTime)
			}
			last := send(c.instances - 1)
			close(stop)
			unrelatedReasons := <-unrelated
			crashed := f.countUnreachableTargets()
			t.Logf("%d of %d targets crashed by %d sends, last answer %s %s, other lookups by result %v", crashed, targets, sends+1,
				last.outcome, last.reason, unrelatedReasons)
			if crashed > c.maxCrashed || last.reason != reason.CrashSuspect.Name || last.outcome != string(reason.NotRun) {
				t.Errorf("%d targets crashed, want at most %d; last answer %+v, want outcome not-run and reason crash_suspect", crashed, c.maxCrashed, last)
			}
			if refusedUnrelated := unrelatedReasons[string(reason.NotRun)+reason.CrashSuspect.Name]; refusedUnrelated > 0 {
				t.Errorf("%d lookups that crash no target were refused as suspects", refusedUnrelated)
			}
		})
	}
}
