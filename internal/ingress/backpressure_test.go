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

// sendConcurrently sends requests from several callers concurrently. Each caller sends its requests one after the other, each
// on its own connection, and ignores the answers.
func sendConcurrently(t *testing.T, b *testbed, callers, perCaller int) {
	t.Helper()
	var group sync.WaitGroup
	for n := range callers {
		connections := make([]*callerConn, perCaller)
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

// startSlow starts a target that answers each request after workTime.
func startSlow(t *testing.T) *rawtarget.Target {
	return startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		time.Sleep(workTime)
		return rawAnswer(200, r, "", "fine"), true
	})
}

// workTime is how long a request takes on the targets of these tests.
const workTime = 20 * time.Millisecond

// startDraining starts a target that announces from its fifth request on that it is draining, in answers with the given status.
// It counts in late the requests that arrive more than 200 ms after the first announcement.
func startDraining(t *testing.T, status int, extra string, late *atomic.Int64) *rawtarget.Target {
	const grace = 200 * time.Millisecond
	// announcedAt is the arrival of the first request that was answered with the announcement, in Unix nanoseconds.
	var announcedAt atomic.Int64
	return startScripted(t, func(r *http.Request, n int64) (string, bool) {
		at := time.Now().UnixNano()
		time.Sleep(workTime)
		if n < 5 {
			return rawAnswer(200, r, "", "fine"), true
		}
		if !announcedAt.CompareAndSwap(0, at) && at-announcedAt.Load() > int64(grace) {
			late.Add(1)
		}
		return rawAnswer(status, r, "X-Leaving: 1\r\n"+extra, ""), true
	})
}

// Guards against sending requests to a target after it announced in an answer that it is draining, whatever the status of the
// answer, and even while many requests are queued. The store reports the deregistration later, or not at all.
func TestDrainingTargetGetsNoRequest(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 404, 500, 503} {
		var late atomic.Int64
		leaving := startDraining(t, status, "", &late)
		b := newTestbed(t, leaving, startSlow(t))
		sendConcurrently(t, b, 24, 12)
		if n := late.Load(); n > 0 || leaving.Requests.Load() < 5 {
			t.Errorf("status %d: %d late requests of %d", status, n, leaving.Requests.Load())
		}
	}
}

// Guards against treating a target as draining because of another value of the leaving header, or because of a 421 answer of
// another target at its address.
func TestInvalidLeavingHeaderIsIgnored(t *testing.T) {
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
		t.Error("the leaving header of another target was applied")
	}
}

// Guards against using a draining target again when its registry entry reappears after an outage, and against never using it
// again although a new incarnation has started.
func TestDrainingAppliesToIncarnation(t *testing.T) {
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
		t.Error("the target is used again after its entry expired and reappeared")
	}
	entry.Born = 2
	set(entry)
	if !pool.Accepts(pool.Target("t0")) {
		t.Error("the next incarnation is not used")
	}
}

// Guards against sending requests to a target during the backoff that it requested when it shed one, from any connection and
// even while many requests are queued, and against never sending it a request again.
func TestTargetInBackoffGetsNoRequest(t *testing.T) {
	t.Parallel()
	const backoff, grace = 900 * time.Millisecond, 100 * time.Millisecond
	// requestedAt is the arrival of the request that was shed, in Unix nanoseconds.
	var requestedAt, early atomic.Int64
	target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		at := time.Now().UnixNano()
		if requestedAt.CompareAndSwap(0, at) {
			return rawAnswer(503, r, fmt.Sprintf("X-Not-Run: 1\r\nRetry-After: %g\r\n", backoff.Seconds()), ""), true
		}
		if since := time.Duration(at - requestedAt.Load()); since > grace && since < backoff {
			early.Add(1)
		}
		time.Sleep(workTime)
		return rawAnswer(200, r, "", "fine"), true
	})
	b := newTestbed(t, target, startSlow(t))
	for deadline := time.Now().Add(backoff + 600*time.Millisecond); time.Now().Before(deadline); {
		sendConcurrently(t, b, 16, 2)
	}
	if n := early.Load(); n > 2 {
		t.Errorf("%d requests during the backoff", n)
	}
	if target.Requests.Load() < 5 {
		t.Errorf("%d requests in total, want at least 5", target.Requests.Load())
	}
}

// Guards against a backoff that the target did not request: with a status other than 503, and with an invalid or empty
// Retry-After header.
func TestInvalidBackoffIsIgnored(t *testing.T) {
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

// Guards against requests that wait until their deadline although all targets requested a backoff, and against a Retry-After in
// the refusal that is earlier than the end of the backoff, up to the longest Retry-After of 2 s.
func TestServiceInBackoffRefusesImmediately(t *testing.T) {
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
