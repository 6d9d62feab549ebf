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

// maxCrashRuns is how often a request that crashes targets may be run: until the third crash, and in three retries that follow
// it.
const maxCrashRuns = 6

// startPoisonable starts targets that call the function crash for each request whose body begins with "poison" and answer all
// other requests. It returns the targets and a counter of the calls.
func startPoisonable(t *testing.T, count int, crash func(target *rawtarget.Target, conn net.Conn, r *http.Request, run int64) bool) ([]*rawtarget.Target, *atomic.Int64) {
	t.Helper()
	targets := make([]*rawtarget.Target, count)
	runs := &atomic.Int64{}
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
			if strings.HasPrefix(r.Header.Get(rawtarget.BodyHeader), "poison") {
				return crash(targets[i], conn, r, runs.Add(1))
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
			return err == nil
		})
	}
	return targets, runs
}

// sendPoison sends a poison request a number of times, each followed by another request of the same caller that must not be
// held.
func sendPoison(t *testing.T, b *testbed, times int) {
	t.Helper()
	for i := range times {
		b.dial(t).exchange("POST", "/safe/", fmt.Sprintf("p%d", i), "poison")
		if _, body := b.dial(t).exchange("POST", "/safe/", fmt.Sprintf("h%d", i), "harmless"); strings.HasPrefix(body, reason.CrashHeld.Name) {
			t.Errorf("a harmless request of the same caller was held: %q", body)
		}
	}
}

// Guards against sending a request to one target after another because their listeners close shortly after the connection, so
// that the first check finds the targets alive.
func TestLateTerminationCountsAsCrash(t *testing.T) {
	t.Parallel()
	const delay = 150 * time.Millisecond
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		time.AfterFunc(delay, target.Stop)
		return false
	})
	b := newTestbed(t, targets...)
	for range 8 {
		sendPoison(t, b, 1)
		time.Sleep(delay)
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against a request that crashes targets without limit because a new process accepts connections at their address at
// once.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		target.DropConnections()
		return false
	})
	b := newTestbed(t, targets...)
	sendPoison(t, b, 10)
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against a request that goes on crashing targets because some of its runs are answered. A 5xx answer does not show that
// the request is harmless, and a successful one does not clear the earlier crashes.
func TestAnswersBetweenCrashesDoNotClearThem(t *testing.T) {
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
		// Every second run crashes a target, so the third crash is the fifth run.
		if n := runs.Load(); n > 5+3 {
			t.Errorf("status %d: the request ran %d times, want at most 8", status, n)
		}
	}
}

// Guards against a request that is not recognized any more because its route leads to another service.
func TestCrashHeldAfterRouteChange(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashing(t, 16)
	b := newTestbed(t, targets...)
	sendPoison(t, b, 2)
	view := *b.view.Load()
	view.Pools["moved"] = view.Pools["s"]
	view.Table = buildTable(t, newRoutesConfig("moved"))
	b.view.Store(&view)
	sendPoison(t, b, 6)
	if n := crashed.Load(); n > 3 {
		t.Errorf("%d targets crashed, want at most 3", n)
	}
}

// Guards against copies of a request that the crash guard admitted before the crashes were known, and that are sent after the
// crashes because they waited for a target.
func TestWaitingRequestIsHeldAfterCrash(t *testing.T) {
	t.Parallel()
	targets, crashed := startCrashing(t, 8)
	b, other := newTestbed(t, targets[:4]...), newTestbed(t, targets[4:]...)
	other.gateway.CrashMarks = markForwarder{b.gateway}
	proceed := make(chan struct{})
	b.gateway.beforeSend = func() { <-proceed }
	waiting := b.dial(t)
	waiting.send("POST", "/safe/", "waits", "poison")
	time.Sleep(50 * time.Millisecond)
	other.dial(t).exchange("POST", "/safe/", "p0", "poison")
	before := crashed.Load()
	close(proceed)
	if got, _, err := waiting.receive(); err != nil || got.StatusCode != 503 {
		t.Errorf("status %d, error %v", got.StatusCode, err)
	}
	if n := crashed.Load(); n != before {
		t.Errorf("%d targets had crashed before the copy was sent, %d after", before, n)
	}
}

// idOf returns the id of the target at an address.
func idOf(targets []*rawtarget.Target, address string) string {
	return fmt.Sprintf("t%d", slices.IndexFunc(targets, func(t *rawtarget.Target) bool { return t.Address() == address }))
}

// Guards against a request that crashes targets whose connections are not closed: they become silent, and only the store
// reports that they are gone.
func TestTerminationReportedByStore(t *testing.T) {
	t.Parallel()
	const expiry = 100 * time.Millisecond
	release, ran := make(chan struct{}), make(chan string, 20)
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		ran <- target.Address()
		<-release
		return false
	})
	t.Cleanup(func() { close(release) })
	b := newTestbed(t, targets...)
	for i := range 8 {
		b.dial(t).exchange("POST", "/once/", fmt.Sprintf("p%d", i), "poison")
		time.Sleep(expiry)
		for len(ran) > 0 {
			b.gateway.TargetTerminated(idOf(targets, <-ran), 0, false)
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against a request that crashes targets after its caller disconnected, when no connection waits for the answer.
func TestCrashAfterCallerDisconnected(t *testing.T) {
	t.Parallel()
	const disconnectAfter, crashAfter = 30 * time.Millisecond, 100 * time.Millisecond
	crashed := make(chan string, 20)
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		time.Sleep(crashAfter)
		target.Stop()
		crashed <- target.Address()
		return false
	})
	b := newTestbed(t, targets...)
	for i := range 12 {
		caller := b.dial(t)
		caller.send("POST", "/once/", fmt.Sprintf("p%d", i), "poison")
		time.Sleep(disconnectAfter)
		_ = caller.conn.Close()
		time.Sleep(crashAfter + disconnectPollInterval)
		for len(crashed) > 0 {
			b.gateway.TargetTerminated(idOf(targets, <-crashed), 0, false)
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against a request that crashes targets in the middle of a long answer, which is streamed to the caller.
func TestCrashDuringStreamedAnswer(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 20, func(target *rawtarget.Target, conn net.Conn, r *http.Request, _ int64) bool {
		const length = 2 * maxBufferedAnswerBytes
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), length)
		_, _ = io.WriteString(conn, head+strings.Repeat("x", length-1))
		target.Stop()
		return false
	})
	b := newTestbed(t, targets...)
	for i := range 10 {
		caller := b.dial(t)
		caller.send("POST", "/safe/", fmt.Sprintf("p%d", i), "poison")
		if got, _, err := caller.receive(); err == nil && got.StatusCode == 200 {
			t.Error("a truncated answer was received as complete")
		}
	}
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against a request that crashes the same target repeatedly because it restarts under the same id each time.
func TestRepeatedCrashesOfOneTarget(t *testing.T) {
	t.Parallel()
	targets, runs := startPoisonable(t, 1, func(target *rawtarget.Target, _ net.Conn, _ *http.Request, _ int64) bool {
		target.DropConnections()
		return false
	})
	sendPoison(t, newTestbed(t, targets...), 12)
	if n := runs.Load(); n > maxCrashRuns {
		t.Errorf("the request ran %d times, want at most %d", n, maxCrashRuns)
	}
}

// Guards against counting a crash for a request whose caller left or whose deadline expired, if the target terminated much later
// for another reason.
func TestLateTerminationIsNotBlamedOnDisconnectedCallers(t *testing.T) {
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
		t.Errorf("%d crashes were counted, want none", n)
	}
}

// Guards against counting a crash of a target that is only unreachable: its answers were lost when the network path failed, and
// new connections time out.
func TestConnectTimeoutIsNotACrash(t *testing.T) {
	t.Parallel()
	targets, _ := startPoisonable(t, 1, func(*rawtarget.Target, net.Conn, *http.Request, int64) bool { return false })
	b := newTestbed(t, targets...)
	view := b.view.Load()
	call := &call{request: protocol.AcquireRequest(), pool: view.Pools["s"], route: view.Table.Match("h", "/safe/")}
	attempt := b.gateway.newAttempt(t.Context(), call, dispatch.Decision{Target: call.pool.Target("t0")})
	b.gateway.crashGuard.ConnectionLost(b.gateway.Now(), call.fingerprint(), attempt.crashAttempt(), 0)
	for i, cause := range []error{&transport.ConnectTimeoutError{}, syscall.ECONNREFUSED} {
		b.gateway.reportAttempt(t.Context(), call, attempt, &result{failure: reason.ConnectionRefused, cause: cause})
		if n := b.gateway.CrashStats().Crashes; n != int64(i) {
			t.Errorf("%v: %d crashes, want %d", cause, n, i)
		}
	}
}
