package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// fakeCredit is a source that counts what becomes of its credits.
type fakeCredit struct {
	mu sync.Mutex
	t  testing.TB
	// now and lifetime determine when credits expire. The default is an hour.
	now      func() time.Duration
	lifetime time.Duration
	// deny returns the denial for the request for a credit of a number, counted from 1. It may be nil.
	deny   func(ctx context.Context, number int) *credit.Denial
	asked  int
	issued int
	// returned holds the ids of the credits that were given back.
	returned map[uint64]bool
	// late counts the credits that were given back after they had expired, which are lost.
	late    int
	expires map[uint64]time.Duration
	limits  []credit.Limit
}

func (f *fakeCredit) Acquire(ctx context.Context, key credit.Key, limit credit.Limit) (credit.Grant, *credit.Denial) {
	f.mu.Lock()
	f.asked++
	number, deny := f.asked, f.deny
	f.limits = append(f.limits, limit)
	f.mu.Unlock()
	if key != (credit.Key{Kind: credit.WorkspaceQuota, Name: "w"}) {
		f.t.Errorf("a credit was asked for %s", key)
	}
	if deny != nil {
		if denial := deny(ctx, number); denial != nil {
			return credit.Grant{}, denial
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issued++
	grant := credit.Grant{Key: key, ID: uint64(number), ExpiresAt: f.now() + f.lifetime, ReturnBy: f.now() + f.lifetime/2}
	f.expires[grant.ID] = grant.ExpiresAt
	return grant, nil
}

func (f *fakeCredit) Return(grant credit.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now() >= f.expires[grant.ID] {
		f.late++
	}
	if grant.ID == 0 || f.returned[grant.ID] {
		f.t.Errorf("credit %d was given back without need or twice", grant.ID)
	}
	f.returned[grant.ID] = true
}

// counts returns how many credits were issued and how many of them were given back.
func (f *fakeCredit) counts() (issued, returned int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.issued, len(f.returned)
}

// quotaTestbed is a testbed whose workspace "w" has a quota.
type quotaTestbed struct {
	*keyedTestbed
	credit *fakeCredit
	// skipped is how much later the clock is than the time that passed.
	skipped atomic.Int64
}

func newQuotaTestbed(t testing.TB, targets ...*rawtarget.Target) *quotaTestbed {
	t.Helper()
	q := &quotaTestbed{credit: &fakeCredit{t: t, lifetime: time.Hour, returned: map[uint64]bool{}, expires: map[uint64]time.Duration{}}}
	q.keyedTestbed = newKeyedTestbed(t, func(c *Config) {
		q.credit.now, c.Credit = c.Now, q.credit
		now := c.Now
		c.DetectSuspension = func() (time.Duration, time.Duration) { return now() + time.Duration(q.skipped.Load()), 0 }
	}, targets...)
	q.setConfig(t, keyedConfig(7, limitedWorkspace()))
	return q
}

func limitedWorkspace() routes.Workspace {
	w := workspaceW()
	w.Rate, w.Burst = 10, 5
	return w
}

func (q *quotaTestbed) exchange(t *testing.T, path string) response {
	t.Helper()
	return q.dial(t).exchangeLines(path, "Caller-Key: "+secretKey)
}

// answers returns a target that answers its requests in turn with these answers, and then with the last one. An empty answer closes
// the connection.
func answers(t *testing.T, raw ...string) *rawtarget.Target {
	return startScripted(t, func(r *http.Request, n int64) (string, bool) {
		answer := raw[min(int(n), len(raw))-1]
		return strings.ReplaceAll(answer, "ID", r.Header.Get("X-Id")), answer != ""
	})
}

const (
	fineAnswer = "HTTP/1.1 200 X\r\nX-Id: ID\r\nX-Load: 1,0,4\r\nContent-Length: 2\r\n\r\nok"
	shedAnswer = "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failAnswer = "HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"
)

// Guards against credits that are lost though no target ran the request, are given back though one may have run it, are given back
// twice, or are missing for a further target after one that may have run it.
func TestCreditsOfAllEnds(t *testing.T) {
	const lost = ""
	for name, c := range map[string]struct {
		path     string
		targets  [][]string
		prepare  func(*quotaTestbed)
		status   int
		issued   int
		returned int
	}{
		"answered":                {"/once/x", [][]string{{fineAnswer}}, nil, 200, 1, 0},
		"failed":                  {"/once/x", [][]string{{failAnswer}}, nil, 500, 1, 0},
		"lost":                    {"/once/x", [][]string{{lost}}, nil, 502, 1, 0},
		"shed, then answered":     {"/once/x", [][]string{{shedAnswer, fineAnswer}, {shedAnswer, fineAnswer}}, nil, 0, 1, -1},
		"shed by all":             {"/once/x", [][]string{{shedAnswer}, {shedAnswer}}, nil, 503, 1, 1},
		"lost twice":              {"/safe/x", [][]string{{lost}, {lost}}, nil, 502, 2, 0},
		"no target":               {"/once/x", nil, nil, 503, 1, 1},
		"target does not listen":  {"/once/x", [][]string{nil}, nil, 503, 1, 1},
		"public":                  {"/open/x", [][]string{{fineAnswer}}, nil, 200, 0, 0},
		"no budget for a retry":   {"/safe/x", [][]string{{lost}, {lost}}, withoutRetries, 502, 2, 1},
		"key revoked meanwhile":   {"/once/x", [][]string{{fineAnswer}}, revokeBeforeSend, 401, 1, 1},
		"keys outdated":           {"/once/x", [][]string{{fineAnswer}}, outdateBeforeSend, 503, 1, 1},
		"panic before the send":   {"/once/x", [][]string{{fineAnswer}}, panicBeforeSend, 500, 1, 1},
		"panic after the send":    {"/once/x", [][]string{{fineAnswer}}, panicAfterSend, 500, 1, 0},
		"expired before the send": {"/once/x", [][]string{{fineAnswer}}, expireBeforeSend, 200, 2, 1},
		"no limit": {"/once/x", [][]string{{fineAnswer}}, func(q *quotaTestbed) {
			q.setConfig(t, keyedConfig(8, workspaceW()))
		}, 200, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*rawtarget.Target
			for _, raw := range c.targets {
				targets = append(targets, answers(t, append(raw, fineAnswer)[:max(len(raw), 1)]...))
				if raw == nil {
					targets[len(targets)-1].Stop()
				}
			}
			q := newQuotaTestbed(t, targets...)
			if c.prepare != nil {
				c.prepare(q)
			}
			answer := q.exchange(t, c.path)
			q.checkIdle(t)
			want := c.returned
			if want < 0 {
				// The second target may shed the request too.
				want = map[int]int{200: 0, 503: 1}[answer.StatusCode]
			} else if answer.StatusCode != c.status {
				t.Errorf("status %d, want %d", answer.StatusCode, c.status)
			}
			if issued, returned := q.credit.counts(); issued != c.issued || returned != want {
				t.Errorf("status %d: %d credits issued and %d given back, want %d and %d", answer.StatusCode, issued, returned, c.issued, want)
			}
		})
	}
}

func withoutRetries(q *quotaTestbed) {
	for q.view.Load().Pools["s"].MayRetry() {
		continue
	}
}

func revokeBeforeSend(q *quotaTestbed) {
	q.gateway.beforeSend = func() { q.setConfig(q.credit.t, keyedConfig(9, routes.Workspace{Name: "w"})) }
}

func outdateBeforeSend(q *quotaTestbed) {
	q.gateway.beforeSend = func() { q.keysAge.Store(int64(outdatedAge)) }
}

func panicBeforeSend(q *quotaTestbed) {
	q.gateway.beforeSend = func() { panic("fault") }
}

func panicAfterSend(q *quotaTestbed) {
	q.gateway.ParseLoad = func([]byte) (dispatch.LoadReport, bool) { panic("fault") }
}

func expireBeforeSend(q *quotaTestbed) {
	q.credit.lifetime = 300 * time.Millisecond
	first := true
	q.gateway.beforeSend = func() {
		if first {
			time.Sleep(q.credit.lifetime)
		}
		first = false
	}
}

// Guards against a refusal that a caller repeats too early or takes for final, and against one that promises that a request did not
// run after a target may have run it.
func TestRequestWithoutCreditIsRefused(t *testing.T) {
	denied := func(denial credit.Denial, from int) func(context.Context, int) *credit.Denial {
		return func(_ context.Context, number int) *credit.Denial {
			if number < from {
				return nil
			}
			return &denial
		}
	}
	for name, c := range map[string]struct {
		deny       func(context.Context, int) *credit.Denial
		path       string
		target     string
		status     int
		reason     string
		retryAfter string
	}{
		"used up":                 {denied(credit.Denial{RetryAfter: 420 * time.Millisecond}, 1), "/once/x", fineAnswer, 429, "quota_exceeded", "0.42"},
		"no owner":                {denied(credit.Denial{Unavailable: true}, 1), "/once/x", fineAnswer, 503, "quota_unavailable", "0.05"},
		"used up for a further":   {denied(credit.Denial{RetryAfter: time.Second}, 2), "/safe/x", "", 502, "answer_lost", ""},
		"used up after a failure": {denied(credit.Denial{RetryAfter: time.Second}, 2), "/safe/x", failAnswer, 500, "", ""},
	} {
		target := answers(t, c.target)
		q := newQuotaTestbed(t, target, answers(t, c.target))
		q.credit.deny = c.deny
		answer := q.exchange(t, c.path)
		h := answer.Header
		if answer.StatusCode != c.status || h.Get("Basillink-Reason") != c.reason || h.Get("Retry-After") != c.retryAfter {
			t.Errorf("%s: %d %v, want %d %s with Retry-After %q", name, answer.StatusCode, h, c.status, c.reason, c.retryAfter)
		}
		if c.target == fineAnswer && target.Requests.Load() != 0 {
			t.Errorf("%s: the refused request reached the target", name)
		}
		q.checkIdle(t)
	}
}

// Guards against a credit that is lost when the caller leaves while its request waits for a target or for the credit.
func TestCallerThatLeavesGivesItsCreditBack(t *testing.T) {
	q := newQuotaTestbed(t, startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		time.Sleep(300 * time.Millisecond)
		return rawAnswer(200, r, "X-Load: 1,4,4\r\n", "ok"), true
	}))
	// Twelve requests for four slots: some are running when their callers leave, and the others wait.
	var callers []*callerConn
	for i := range 12 {
		c := q.dial(t)
		_, _ = fmt.Fprintf(c.conn, "GET /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id%d\r\nX-Deadline: 800\r\nCaller-Key: %s\r\n\r\n", i, secretKey)
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond)
	for _, c := range callers {
		_ = c.conn.Close()
	}
	q.checkIdle(t)
	issued, returned := q.credit.counts()
	if sent := int(q.targets[0].Requests.Load()); issued != 12 || returned != issued-sent {
		t.Errorf("%d credits issued, %d given back, %d requests sent", issued, returned, sent)
	}
	q.credit.deny = func(ctx context.Context, _ int) *credit.Denial {
		<-ctx.Done()
		return &credit.Denial{Unavailable: true}
	}
	c := q.dial(t)
	_, _ = fmt.Fprintf(c.conn, "GET /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Deadline: 800\r\nCaller-Key: %s\r\n\r\n", secretKey)
	time.Sleep(20 * time.Millisecond)
	_ = c.conn.Close()
	q.checkIdle(t)
	if !strings.Contains(q.log.String(), "reason=caller_left ") {
		t.Error("a caller that left while its request waited for a credit is not logged as such")
	}
}

// Guards against credits that expire with the requests that wait for a target. Each such request would take two credits of the quota.
func TestWaitingRequestReturnsItsCreditInTime(t *testing.T) {
	q := newQuotaTestbed(t, startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		time.Sleep(400 * time.Millisecond)
		return rawAnswer(200, r, "X-Load: 1,4,4\r\n", "ok"), true
	}))
	config := keyedConfig(8, limitedWorkspace())
	for i := range config.Routes {
		config.Routes[i].LatencyObjective, config.Routes[i].Timeout = 2*time.Second, 2*time.Second
	}
	q.setConfig(t, config)
	q.credit.lifetime = 300 * time.Millisecond
	// More requests than the target has slots.
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			if answer := q.exchange(t, "/once/x"); answer.StatusCode != 200 {
				t.Errorf("status %d", answer.StatusCode)
			}
		})
	}
	group.Wait()
	q.checkIdle(t)
	issued, returned := q.credit.counts()
	if issued-returned != 4 || issued == 4 || q.credit.late > 0 {
		t.Errorf("%d credits issued, %d given back, %d of them too late", issued, returned, q.credit.late)
	}
}

// Guards against a workspace that is always refused because its quota is larger than the largest limit.
func TestHugeQuotaIsALimit(t *testing.T) {
	q := newQuotaTestbed(t, answers(t, fineAnswer))
	w := limitedWorkspace()
	w.Rate, w.Burst = 1e12, 1e300
	q.setConfig(t, keyedConfig(8, w))
	pool := credit.NewPool(credit.PoolConfig{
		Now: q.gateway.Now, Bounds: map[credit.Kind]credit.Bounds{credit.WorkspaceQuota: {Window: time.Second}},
		Send: func(credit.Ask) bool { return false },
	})
	q.gateway.Credit = pool
	q.exchange(t, "/once/x")
	if s := pool.Stats(); s.Invalid != 0 || s.Asks == 0 {
		t.Errorf("the quota was taken for an invalid one: %+v", s)
	}
}

// Guards against the credit of a cold target that is lost with a request that got no credit for its quota.
func TestRefusedQuotaReturnsTheCreditOfAColdTarget(t *testing.T) {
	q := newQuotaTestbed(t, answers(t, fineAnswer))
	cold := limitToCredits(q.testbed, 1)
	// The first credit has expired when the target was chosen.
	q.credit.lifetime = 0
	q.credit.deny = func(_ context.Context, number int) *credit.Denial {
		if number == 1 {
			return nil
		}
		return &credit.Denial{RetryAfter: time.Second}
	}
	if answer := q.exchange(t, "/once/x"); answer.StatusCode != 429 {
		t.Errorf("status %d", answer.StatusCode)
	}
	q.checkIdle(t)
	if left, granted, returned := cold.counts(); left != 1 || granted != 1 || returned != 1 {
		t.Errorf("%d credits of the cold target left, %d granted, %d given back", left, granted, returned)
	}
}

// Guards against an owner that does not learn of the limit in force, and against a grant that needs no credit and is taken for an
// expired one, so that its request is never sent.
func TestCreditLimitAndUnlimitedGrant(t *testing.T) {
	q := newQuotaTestbed(t, answers(t, fineAnswer))
	if answer := q.exchange(t, "/once/x"); answer.StatusCode != 200 {
		t.Errorf("status %d", answer.StatusCode)
	}
	want := credit.Limit{Rate: 10, Burst: 5, Version: 7}
	for _, limit := range q.credit.limits {
		if limit != want {
			t.Errorf("limit %+v, want %+v", limit, want)
		}
	}
	q.gateway.Credit = unlimitedCredit{t}
	if answer := q.exchange(t, "/once/x"); answer.StatusCode != 200 {
		t.Errorf("status %d with a grant that needs no credit", answer.StatusCode)
	}
}

// unlimitedCredit grants requests that need no credit.
type unlimitedCredit struct{ t *testing.T }

func (unlimitedCredit) Acquire(context.Context, credit.Key, credit.Limit) (credit.Grant, *credit.Denial) {
	return credit.Grant{}, nil
}

func (u unlimitedCredit) Return(credit.Grant) {
	u.t.Error("a grant that needs no credit was given back")
}

// Guards against a panic, at whatever stage, that loses the credit of a request that was not sent, or gives back one that a target
// may have used.
func TestPanicKeepsCreditsRight(t *testing.T) {
	for name, raw := range map[string]string{"answered": fineAnswer, "lost": "", "failed": failAnswer} {
		for panicAt := int64(1); ; panicAt++ {
			q := newQuotaTestbed(t, answers(t, raw), answers(t, raw))
			now, calls := q.gateway.Now, atomic.Int64{}
			faulty := func() time.Duration {
				if calls.Add(1) == panicAt {
					panic("fault")
				}
				return now()
			}
			q.gateway.Now = faulty
			q.gateway.DetectSuspension = func() (time.Duration, time.Duration) { return faulty(), 0 }
			q.exchange(t, "/safe/x")
			interrupted := q.gateway.Panics() > 0
			calls.Store(1 << 32)
			q.checkIdle(t)
			issued, returned := q.credit.counts()
			if sent := int(q.targets[0].Requests.Load() + q.targets[1].Requests.Load()); issued-returned != sent {
				t.Errorf("%s, panic at call %d: %d credits issued, %d given back, %d requests sent", name, panicAt, issued, returned, sent)
			}
			if !interrupted {
				break
			}
		}
	}
}

// Guards against requests that are refused just after the start, while no owner of the shared limits is known yet. Callers often
// have no retry left after a restart of all instances.
func TestOwnerIsAwaitedAfterStart(t *testing.T) {
	const unavailable = 3
	q := newQuotaTestbed(t, answers(t, fineAnswer))
	q.gateway.openedAt = q.gateway.Now()
	q.credit.deny = func(_ context.Context, number int) *credit.Denial {
		if number <= unavailable {
			return &credit.Denial{Unavailable: true}
		}
		return nil
	}
	if answer := q.exchange(t, "/once/x"); answer.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", answer.StatusCode)
	}
	if issued, returned := q.credit.counts(); issued != 1 || returned != 0 {
		t.Errorf("%d credits issued and %d given back, want 1 and 0", issued, returned)
	}
}
