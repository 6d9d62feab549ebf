package ingress

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// flood sends requests from many callers at the same time, each a number of times in a row.
func sendConcurrently(t *testing.T, b *testbed, callers, each int) {
	t.Helper()
	var group sync.WaitGroup
	for n := range callers {
		connections := make([]*callerConn, each)
		for i := range connections {
			connections[i] = b.dial(t)
		}
		group.Go(func() {
			for i, c := range connections {
				c.send("GET", "/safe/", fmt.Sprintf("f%d.%d", n, i), "")
				_, _, _ = c.receive()
			}
		})
	}
	group.Wait()
}

// steady answers after as long as the targets beside it.
func startSlow(t *testing.T) *rawtarget.Target {
	return startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		time.Sleep(workTime)
		return rawAnswer(200, r, "", "fine"), true
	})
}

// workTime is how long a request takes on a target.
const workTime = 20 * time.Millisecond

// leavingAfter answers with a status, and says that it is leaving from a request on. It counts those that come later than a while
// after that.
func startLeaving(t *testing.T, status int, extra string, late *atomic.Int64) *rawtarget.Target {
	const inFlight = 200 * time.Millisecond
	var said atomic.Int64
	return startScripted(t, func(r *http.Request, n int64) (string, bool) {
		at := time.Now().UnixNano()
		time.Sleep(workTime)
		if n < 5 {
			return rawAnswer(200, r, "", "fine"), true
		}
		if !said.CompareAndSwap(0, at) && at-said.Load() > int64(inFlight) {
			late.Add(1)
		}
		return rawAnswer(status, r, "X-Leaving: 1\r\n"+extra, ""), true
	})
}

// Guards against requests that reach a target after it said in an answer that it is leaving, whatever the answer was and though many
// requests wait: the store tells it later, or not at all.
func TestTargetThatSaysItLeavesGetsNothing(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 404, 500, 503} {
		var late atomic.Int64
		leaving := startLeaving(t, status, "", &late)
		b := newTestbed(t, leaving, startSlow(t))
		sendConcurrently(t, b, 24, 12)
		if n := late.Load(); n > 0 || leaving.Requests.Load() < 5 {
			t.Errorf("status %d: %d late requests of %d", status, n, leaving.Requests.Load())
		}
	}
}

// Guards against a target that is taken for a leaving one by a value that does not say so, or by the answer of another target at its
// address.
func TestOtherAnswersSayNothingOfLeaving(t *testing.T) {
	t.Parallel()
	for _, raw := range []string{"X-Leaving: 0\r\n", "X-Leaving: \r\n", "X-Leaving: no\r\n", "X-Leaving: -1\r\n", "X-Leaving: 0.5\r\n"} {
		target := startScripted(t, func(r *http.Request, _ int64) (string, bool) { return rawAnswer(200, r, raw, "fine"), true })
		b := newTestbed(t, target)
		sendConcurrently(t, b, 2, 3)
		if n := target.Requests.Load(); n != 6 {
			t.Errorf("%q: %d of 6 requests", raw, n)
		}
	}
	misdirected := startScripted(t, func(r *http.Request, _ int64) (string, bool) { return rawAnswer(421, r, "X-Leaving: 1\r\n", ""), true })
	b := newTestbed(t, misdirected)
	sendConcurrently(t, b, 1, 1)
	pool := b.view.Load().Pools["s"]
	if !pool.Accepts(pool.Target("t0")) {
		t.Error("the answer of another target counts")
	}
}

// Guards against a target that left and is used again when its entry comes back after an outage, and against one that is never used
// again though it started anew.
func TestLeavingIsRememberedForTheIncarnation(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, startEcho(t, "g"))
	pool := b.view.Load().Pools["s"]
	entry := registry.Entry{ID: "t0", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4, Born: 1}
	set := func(entries ...registry.Entry) {
		var targets []registry.Target
		for _, e := range entries {
			targets = append(targets, registry.Target{Entry: e})
		}
		pool.SetTargets(targets, 1, time.Now())
	}
	set(entry)
	pool.MarkDraining(pool.Target("t0"))
	set()
	set(entry)
	if pool.Accepts(pool.Target("t0")) {
		t.Error("the target is used again after its entry lapsed")
	}
	entry.Born = 2
	set(entry)
	if !pool.Accepts(pool.Target("t0")) {
		t.Error("the next incarnation is not used")
	}
}

// Guards against requests that reach a target which turned one away and wants nothing for a time, from all connections and though
// many wait, and against one that is never asked again.
func TestTargetThatAsksForAPauseGetsNothing(t *testing.T) {
	t.Parallel()
	const pause, grace = 900 * time.Millisecond, 100 * time.Millisecond
	var asked, early atomic.Int64
	target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		at := time.Now().UnixNano()
		if asked.CompareAndSwap(0, at) {
			return rawAnswer(503, r, fmt.Sprintf("X-Not-Run: 1\r\nRetry-After: %g\r\n", pause.Seconds()), ""), true
		}
		if since := time.Duration(at - asked.Load()); since > grace && since < pause {
			early.Add(1)
		}
		time.Sleep(workTime)
		return rawAnswer(200, r, "", "fine"), true
	})
	b := newTestbed(t, target, startSlow(t))
	for ends := time.Now().Add(pause + 600*time.Millisecond); time.Now().Before(ends); {
		sendConcurrently(t, b, 16, 2)
	}
	if n := early.Load(); n > 2 {
		t.Errorf("%d requests within the pause", n)
	}
	if target.Requests.Load() < 5 {
		t.Errorf("%d requests in all", target.Requests.Load())
	}
}

// Guards against pauses that nobody asked for: by another status, by a value that is no time, and without the header.
func TestOnlyARefusalAsksForAPause(t *testing.T) {
	t.Parallel()
	cases := map[int][]string{
		200: {"60"}, 500: {"60"}, 429: {"60"}, 421: {"60"},
		503: {"0", "-60", "soon", "NaN", "Sat, 05 Dec 2026 07:00:00 GMT", ""},
	}
	for status, values := range cases {
		for _, value := range values {
			target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
				return rawAnswer(status, r, "X-Not-Run: 1\r\nRetry-After: "+value+"\r\n", ""), true
			})
			b := newTestbed(t, target)
			sendConcurrently(t, b, 1, 1)
			pool := b.view.Load().Pools["s"]
			if !pool.Accepts(pool.Target("t0")) {
				t.Errorf("status %d, Retry-After %q: the target is not used", status, value)
			}
		}
	}
}

// Guards against requests that wait until their deadline for targets that all asked for a pause, and against callers that are told to
// come back before it ends.
func TestPausedServiceRefusesAtOnce(t *testing.T) {
	t.Parallel()
	target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		return rawAnswer(503, r, "X-Not-Run: 1\r\nRetry-After: 99999999999\r\n", ""), true
	})
	b := newTestbed(t, target)
	b.dial(t).exchange("GET", "/safe/", "id1", "")
	began := time.Now()
	got, body := b.dial(t).exchange("GET", "/safe/", "id2", "")
	if got.StatusCode != 503 || got.Header.Get("Retry-After") != "2" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("status %d, Retry-After %q, %q after %s", got.StatusCode, got.Header.Get("Retry-After"), body, time.Since(began))
	}
	if n := target.Requests.Load(); n != 1 {
		t.Errorf("%d requests", n)
	}
}
