package ingress

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// creditBook grants credits that are valid for a time, and denies them once none is left.
type creditBook struct {
	now      func() time.Duration
	mu       sync.Mutex
	left     int
	validity time.Duration
	granted  uint64
	returned map[uint64]int
}

func (c *creditBook) Acquire(context.Context, credit.Key, credit.Limit) (credit.Grant, *credit.Denial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == 0 {
		return credit.Grant{}, &credit.Denial{RetryAfter: time.Minute}
	}
	c.left--
	c.granted++
	return credit.Grant{ExpiresAt: c.now() + c.validity, ID: c.granted}, nil
}

func (c *creditBook) Return(g credit.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left++
	c.returned[g.ID]++
}

func (c *creditBook) counts() (left int, granted uint64, returned int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.returned {
		returned += n
	}
	return c.left, c.granted, returned
}

// newColdTestbed returns a gateway whose only target is cold, with a number of credits.
func newColdTestbed(t *testing.T, target *rawtarget.Target, credits int) (*testbed, *creditBook) {
	t.Helper()
	b := newTestbed(t, target)
	return b, limitToCredits(b, credits)
}

// limitToCredits makes the target of a testbed cold, with a number of credits.
func limitToCredits(b *testbed, credits int) *creditBook {
	book := &creditBook{now: b.gateway.Now, left: credits, validity: time.Second, returned: map[uint64]int{}}
	pool := b.view.Load().Pools["s"]
	pool.Credit = book
	pool.SetWarmup(5, 1)
	pool.MarkCold("t0", b.gateway.Now()+time.Minute)
	return book
}

// Guards against requests to a cold target beyond its credits, and against refusals that do not tell why.
func TestColdTargetsWithoutCredit(t *testing.T) {
	target := startEcho(t, "cold")
	b, book := newColdTestbed(t, target, 1)
	if got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 {
		t.Errorf("status %d with a credit", got.StatusCode)
	}
	got, _ := b.dial(t).exchange("POST", "/once/", "id2", "x")
	if seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64); got.StatusCode != 503 || err != nil || seconds <= 0 {
		t.Errorf("status %d, headers %v without a credit", got.StatusCode, got.Header)
	}
	if b.counter.refused[reason.ColdTargets.Name] != 1 || target.Requests.Load() != 1 {
		t.Errorf("refused %v, %d requests reached the target", b.counter.refused, target.Requests.Load())
	}
	if _, _, returned := book.counts(); returned != 0 {
		t.Errorf("%d credits were returned of a request that ran", returned)
	}
	b.checkIdle(t)
}

// Guards against a request that is sent on a credit that expired while a connection was opened, and against the loss of that
// credit.
func TestExpiredCreditIsNotSpent(t *testing.T) {
	target := startEcho(t, "cold")
	b, book := newColdTestbed(t, target, 1)
	book.validity = 20 * time.Millisecond
	sends := 0
	b.gateway.beforeSend = func() {
		if sends++; sends == 1 {
			time.Sleep(2 * book.validity)
		}
	}
	if got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
	if left, granted, returned := book.counts(); left != 0 || granted != 2 || returned != 1 || target.Requests.Load() != 1 {
		t.Errorf("%d credits granted, %d returned, %d requests sent; want 2, 1 and 1", granted, returned, target.Requests.Load())
	}
	b.checkIdle(t)
}

// Guards against a target that turns cold between the decision and the send and gets the request without a credit.
func TestTargetTurnsColdBeforeSend(t *testing.T) {
	target := startEcho(t, "cold")
	b, book := newColdTestbed(t, target, 1)
	pool := b.view.Load().Pools["s"]
	pool.SetWarmup(0, 2)
	b.gateway.beforeSend = func() { pool.SetWarmup(5, 3) }
	if got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
	if _, granted, _ := book.counts(); granted != 1 {
		t.Errorf("the request was sent with %d credits, want 1", granted)
	}
}

// Guards against credits that are lost with requests which did not reach the cold target: another process answered at its address, or
// nobody. Also against credits of requests that the target refused, which count and come back.
func TestCreditsOfRequestsThatDidNotReachTheTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		want   int
	}{{"another process", 421, 1}, {"full target", 503, 0}, {"answered", 200, 0}} {
		target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
			return rawAnswer(c.status, r, "X-Not-Run: 1\r\n", ""), true
		})
		b, book := newColdTestbed(t, target, 1)
		b.dial(t).exchange("POST", "/once/", "id1", "x")
		if _, granted, returned := book.counts(); granted != 1 || returned != c.want {
			t.Errorf("%s: %d credits granted, %d returned, want %d", c.name, granted, returned, c.want)
		}
		b.checkIdle(t)
	}
	stopped := startEcho(t, "stopped")
	stopped.Stop()
	b, book := newColdTestbed(t, stopped, 1)
	b.dial(t).exchange("POST", "/once/", "id1", "x")
	if _, granted, returned := book.counts(); granted == 0 || uint64(returned) != granted {
		t.Errorf("stopped target: %d credits granted, %d returned", granted, returned)
	}
}

// Guards against answers of a target that tell that it is cold and are ignored, and against a 421 answer of another process that makes it
// cold.
func TestAnswerMakesTargetCold(t *testing.T) {
	for _, c := range []struct {
		status int
		want   int
	}{{200, 1}, {500, 1}, {421, 0}} {
		target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
			return rawAnswer(c.status, r, "X-Warm: 5000\r\n", ""), true
		})
		b := newTestbed(t, target)
		b.gateway.Headers.Warmup = "X-Warm"
		b.gateway.ParseWarmup = func(value []byte) time.Duration {
			ms, _ := strconv.Atoi(string(value))
			return time.Duration(ms) * time.Millisecond
		}
		b.dial(t).exchange("POST", "/once/", "id1", "x")
		if cold := b.view.Load().Pools["s"].ColdTargets(); cold != c.want {
			t.Errorf("status %d: %d cold targets, want %d", c.status, cold, c.want)
		}
	}
}
