package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/transport"
)

// maxCrashRuns is how often a request that crashes targets may reach one: until the third crash, and in three retries after it.
const maxCrashRuns = 6

// ending starts targets on which each run of a request with the body "poison" is ended by a function, and counts the runs. Other
// requests are answered.
func startPoisonable(t *testing.T, count int, end func(target *rawtarget.Target, conn net.Conn, r *http.Request, run int64) bool) ([]*rawtarget.Target, *atomic.Int64) {
	t.Helper()
	targets := make([]*rawtarget.Target, count)
	runs := &atomic.Int64{}
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
			if strings.HasPrefix(r.Header.Get(rawtarget.BodyHeader), "poison") {
				return end(targets[i], conn, r, runs.Add(1))
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
			return err == nil
		})
	}
	return targets, runs
}

// sendAgain sends a request to a gateway a number of times, each beside another request of the same caller that must not be held.
func sendPoison(t *testing.T, b *testbed, times int) {
	t.Helper()
	for i := range times {
		b.dial(t).exchange("POST", "/safe/", fmt.Sprintf("p%d", i), "poison")
		if _, body := b.dial(t).exchange("POST", "/safe/", fmt.Sprintf("h%d", i), "harmless"); strings.HasPrefix(body, reason.CrashHeld.Name) {
			t.Errorf("another request of the caller: %q", body)
		}
	}
}

// Guards against a request that reaches target after target because their listeners close a little after the connection broke, so
// that the first look takes them for living ones.
func TestRequestWhoseTargetsEndLate(t *testing.T) {
	t.Parallel()
	const after = 150 * time.Millisecond
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		time.AfterFunc(after, target.Stop)
		return false
	})
	b := newTestbed(t, targets...)
	for range 8 {
		sendPoison(t, b, 1)
		time.Sleep(after)
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a request that ends targets for ever because something accepts connections at their address again at once.
func TestRequestWhoseTargetsReturnAtOnce(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		target.Restart()
		return false
	})
	b := newTestbed(t, targets...)
	sendPoison(t, b, 10)
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a request that goes on ending targets because some of its runs are answered: a failure of the target's own proves
// nothing, and a success does not undo the ends before it.
func TestRequestThatIsAnsweredBetweenCrashes(t *testing.T) {
	t.Parallel()
	for _, status := range []int{500, 200} {
		targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, conn net.Conn, r *http.Request, run int64) bool {
			if run%2 == 0 {
				_, err := io.WriteString(conn, rawAnswer(status, r, "", ""))
				return err == nil
			}
			target.Stop()
			return false
		})
		sendPoison(t, newTestbed(t, targets...), 16)
		// Every second run ends a target, so that the third end is the fifth run.
		if n := runs.Load(); n > 5+3 {
			t.Errorf("status %d: the request ran %d times", status, n)
		}
	}
}

// Guards against a request that is taken for another one because its route leads to another service now.
func TestRequestOfARouteThatMoved(t *testing.T) {
	t.Parallel()
	targets, ended := startCrashing(t, 16)
	b := newTestbed(t, targets...)
	sendPoison(t, b, 2)
	view := *b.view.Load()
	view.Pools["moved"] = view.Pools["s"]
	view.Table = buildTable(t, "moved")
	b.view.Store(&view)
	sendPoison(t, b, 6)
	if n := ended.Load(); n > 3 {
		t.Errorf("%d targets ended", n)
	}
}

// Guards against copies of a request that passed the guard before its crashes were known, waited for a target, and are sent after them.
func TestRequestThatWaitedWhenItsCrashesBecameKnown(t *testing.T) {
	t.Parallel()
	targets, ended := startCrashing(t, 8)
	b, other := newTestbed(t, targets[:4]...), newTestbed(t, targets[4:]...)
	other.gateway.CrashMarks = markForwarder{b.gateway}
	held := make(chan struct{})
	b.gateway.beforeSend = func() { <-held }
	waiting := b.dial(t)
	waiting.send("POST", "/safe/", "waits", "poison")
	time.Sleep(50 * time.Millisecond)
	other.dial(t).exchange("POST", "/safe/", "p0", "poison")
	before := ended.Load()
	close(held)
	if got, _, err := waiting.receive(); err != nil || got.StatusCode != 503 {
		t.Errorf("status %d, error %v", got.StatusCode, err)
	}
	if n := ended.Load(); n != before {
		t.Errorf("%d targets ended before the copy was sent, %d after", before, n)
	}
}

// idAt returns the id of the target at an address.
func idOf(targets []*rawtarget.Target, address string) string {
	return fmt.Sprintf("t%d", slices.IndexFunc(targets, func(t *rawtarget.Target) bool { return t.Address() == address }))
}

// Guards against a request that ends targets without a sign on their connections: they fall silent, and only the records of the
// store tell that they are gone.
func TestRequestWhoseTargetsFallSilent(t *testing.T) {
	t.Parallel()
	const lapse = 100 * time.Millisecond
	silent, ran := make(chan struct{}), make(chan string, 20)
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		ran <- target.Address()
		<-silent
		return false
	})
	t.Cleanup(func() { close(silent) })
	b := newTestbed(t, targets...)
	for i := range 8 {
		b.dial(t).exchange("POST", "/once/", fmt.Sprintf("p%d", i), "poison")
		time.Sleep(lapse)
		for len(ran) > 0 {
			b.gateway.TargetTerminated(idOf(targets, <-ran), 0, false)
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a request that ends targets after its caller left, so that nobody waits for the answer.
func TestRequestWhoseCallerLeavesBeforeTargetsEnd(t *testing.T) {
	t.Parallel()
	const stays, ends = 30 * time.Millisecond, 100 * time.Millisecond
	ended := make(chan string, 20)
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		time.Sleep(ends)
		target.Stop()
		ended <- target.Address()
		return false
	})
	b := newTestbed(t, targets...)
	for i := range 12 {
		caller := b.dial(t)
		caller.send("POST", "/once/", fmt.Sprintf("p%d", i), "poison")
		time.Sleep(stays)
		_ = caller.conn.Close()
		time.Sleep(ends + disconnectPollInterval)
		for len(ended) > 0 {
			b.gateway.TargetTerminated(idOf(targets, <-ended), 0, false)
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a request that ends targets in the middle of a long answer, which is passed on while it is read.
func TestRequestThatEndsTargetsInALongAnswer(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, conn net.Conn, r *http.Request, _ int64) bool {
		const whole = 2 * maxBufferedAnswerBytes
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), whole)
		_, _ = io.WriteString(conn, head+strings.Repeat("x", whole-1))
		target.Stop()
		return false
	})
	b := newTestbed(t, targets...)
	for i := range 10 {
		caller := b.dial(t)
		caller.send("POST", "/safe/", fmt.Sprintf("p%d", i), "poison")
		if got, _, err := caller.receive(); err == nil && got.StatusCode == 200 {
			t.Error("a broken answer looks whole")
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against a request that ends the same target again and again: it comes back under its name each time.
func TestRequestWhoseTargetKeepsItsName(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 1, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		target.Restart()
		return false
	})
	sendPoison(t, newTestbed(t, targets...), 12)
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times", n)
	}
}

// Guards against callers who left, or whose deadline passed, on a target that ended much later by another cause: their requests did
// not end it.
func TestLeavingCallersAreNotBlamed(t *testing.T) {
	t.Parallel()
	targets, _ := startPoisonable(t, 4, func(*rawtarget.Target, net.Conn, *http.Request, int64) bool {
		time.Sleep(100 * time.Millisecond)
		return false
	})
	b := newTestbed(t, targets...)
	for i := range 4 {
		caller := b.dial(t)
		caller.send("POST", "/once/", fmt.Sprintf("p%d", i), "poison")
		time.Sleep(20 * time.Millisecond)
		_ = caller.conn.Close()
	}
	time.Sleep(time.Second)
	for id := range targets {
		b.gateway.TargetTerminated(fmt.Sprintf("t%d", id), b.gateway.Now(), false)
	}
	if n := b.gateway.CrashStats().Crashes; n > 0 {
		t.Errorf("%d crashes are counted", n)
	}
}

// Guards against requests that are blamed for the end of a target that only cannot be reached: its answers were lost with a cut link, and
// no connection is opened in time.
func TestConnectionTimeoutIsNoEnd(t *testing.T) {
	t.Parallel()
	targets, _ := startPoisonable(t, 1, func(*rawtarget.Target, net.Conn, *http.Request, int64) bool { return false })
	b := newTestbed(t, targets...)
	view := b.view.Load()
	call := &call{request: protocol.AcquireRequest(), pool: view.Pools["s"], route: view.Table.Match("h", "/safe/")}
	run := b.gateway.newAttempt(t.Context(), call, dispatch.Decision{Target: call.pool.Target("t0")})
	b.gateway.crashGuard.ConnectionLost(b.gateway.Now(), call.fingerprint(), run.crashAttempt(), 0)
	for i, cause := range []error{&transport.ConnectTimeoutError{}, syscall.ECONNREFUSED} {
		b.gateway.reportAttempt(t.Context(), call, run, &result{reason: reason.ConnectionRefused, cause: cause})
		if n := b.gateway.CrashStats().Crashes; n != int64(i) {
			t.Errorf("%v: %d crashes", cause, n)
		}
	}
}
