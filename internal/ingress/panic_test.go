package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// panicStages are the kinds of requests whose handling TestPanicReleasesEverything interrupts. Together they pass all stages.
var panicStages = map[string]struct {
	method, path, body string
	script             rawtarget.Script
}{
	"answered": {"POST", "/once/", "x", func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "X-Load: 1,0,4\r\n", "fine"))
		return err == nil
	}},
	"long body": {"POST", "/once/", strings.Repeat("b", 64<<10), func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "fine"))
		return err == nil
	}},
	"streamed": {"GET", "/safe/", "", func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "", strings.Repeat("s", 2*maxBufferedAnswerBytes)))
		return err == nil
	}},
	"retried": {"GET", "/safe/", "", func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(503, r, "X-Not-Run: 1\r\nRetry-After: 0.01\r\n", ""))
		return err == nil
	}},
	"lost": {"GET", "/safe/", "", func(net.Conn, *http.Request, int64) bool { return false }},
	"misdirected": {"GET", "/safe/", "", func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(421, r, "", ""))
		return err == nil
	}},
	"no route": {"GET", "/nowhere/", "", nil},
}

// Guards against a panic that leaves behind what the request held, at whatever stage it occurs: the slot of a target, a claim, a
// connection, memory, or the count of requests in flight. A caller that got no byte of an answer is told of the failure.
func TestPanicReleasesEverything(t *testing.T) {
	for name, stage := range panicStages {
		t.Run(name, func(t *testing.T) {
			for panicAt := int64(1); ; panicAt++ {
				if !panicAtCall(t, stage.method, stage.path, stage.body, stage.script, panicAt) {
					if panicAt < 3 {
						t.Errorf("only %d stages were interrupted", panicAt-1)
					}
					return
				}
			}
		})
	}
}

// panicAtCall interrupts one request at a call of the gateway's clock. It reports whether the request made that many calls.
func panicAtCall(t *testing.T, method, path, body string, script rawtarget.Script, panicAt int64) bool {
	t.Helper()
	var faulty atomic.Bool
	faulty.Store(true)
	targets := make([]*rawtarget.Target, 2)
	for i := range targets {
		targets[i] = rawtarget.Start(t, func(conn net.Conn, r *http.Request, n int64) bool {
			if faulty.Load() && script != nil {
				return script(conn, r, n)
			}
			_, err := io.WriteString(conn, rawAnswer(200, r, "", "sound"))
			return err == nil
		})
	}
	b := newTestbed(t, targets...)
	b.gateway.Memory = membudget.New(64 << 20)
	clock, calls := b.gateway.Now, atomic.Int64{}
	now := func() time.Duration {
		if calls.Add(1) == panicAt {
			panic("fault")
		}
		return clock()
	}
	b.gateway.Now = now
	b.gateway.DetectSuspension = func() (time.Duration, time.Duration) { return now(), 0 }
	c := b.dial(t)
	c.send(method, path, "id1", body)
	answer, _, err := c.receive()
	interrupted := b.gateway.Panics() > 0
	if interrupted && err == nil && answer.StatusCode == 500 && !answer.Close {
		t.Errorf("panic at call %d: the connection is kept after it", panicAt)
	}
	if answer.StatusCode == 0 && err != nil {
		t.Errorf("panic at call %d: no answer: %v", panicAt, err)
	}
	faulty.Store(false)
	calls.Store(panicAt + 1<<32)
	b.checkIdle(t)
	next := b.dial(t)
	for i := range 6 {
		// Targets that the request found failing may be left out for a moment.
		if answer, got := next.exchange("POST", "/once/", fmt.Sprint("next", i), "x"); answer.StatusCode == 200 && got != "sound" {
			t.Errorf("panic at call %d: the next request got %q", panicAt, got)
		}
	}
	b.checkIdle(t)
	return interrupted
}

// Guards against a claim and a slot that stay in use when the sending of the claim panics.
func TestPanicInAClaimReleasesTheSlot(t *testing.T) {
	b := newTestbed(t, startEcho(t, ""))
	pool := b.view.Load().Pools["s"]
	pool.SetInstances(2, true)
	pool.SendClaim = func(string, uint32, time.Duration) bool { panic("fault") }
	var targets []dispatch.TargetLoad
	for _, id := range []string{"t0"} {
		targets = append(targets, dispatch.TargetLoad{Target: pool.Target(id), LoadReport: dispatch.LoadReport{Running: 3, Slots: 4, Slowdown: 1, ReceivedAt: b.gateway.Now()}})
	}
	pool.UpdateLoad(targets)
	if answer, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); answer.StatusCode != 500 || b.gateway.Panics() != 1 {
		t.Errorf("status %d, %d panics; want 500 and 1", answer.StatusCode, b.gateway.Panics())
	}
	b.checkIdle(t)
}
