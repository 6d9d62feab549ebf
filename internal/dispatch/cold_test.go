package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
)

// fakeOwner hands out credits from a token bucket for each target. It is safe for concurrent use.
type fakeOwner struct {
	// delay is the time that an answer takes, and validity how long a credit may be spent.
	delay, validity time.Duration
	now             func() time.Duration

	mu       sync.Mutex
	buckets  map[string]*bucket
	lastID   uint64
	returned map[uint64]int
	asked    int
}

type bucket struct {
	tokens   float64
	filledAt time.Duration
}

func newFakeOwner(now func() time.Duration) *fakeOwner {
	return &fakeOwner{delay: 5 * time.Millisecond, validity: 200 * time.Millisecond, now: now, buckets: map[string]*bucket{}, returned: map[uint64]int{}}
}

func (o *fakeOwner) Acquire(_ context.Context, key credit.Key, limit credit.Limit) (credit.Grant, *credit.Denial) {
	askedAt := o.now()
	time.Sleep(o.delay)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	b := o.buckets[key.Name]
	if b == nil {
		b = &bucket{filledAt: o.now()}
		o.buckets[key.Name] = b
	}
	b.tokens = min(b.tokens+limit.Rate*(o.now()-b.filledAt).Seconds(), 1)
	b.filledAt = o.now()
	if b.tokens < 1 {
		return credit.Grant{}, &credit.Denial{RetryAfter: time.Duration((1 - b.tokens) / limit.Rate * float64(time.Second))}
	}
	b.tokens--
	o.lastID++
	return credit.Grant{Key: key, ExpiresAt: askedAt + o.validity, ID: o.lastID}, nil
}

func (o *fakeOwner) Return(g credit.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returned[g.ID]++
}

// unreachableOwner is the owner as an instance sees it that is out of touch.
type unreachableOwner struct{}

func (unreachableOwner) Acquire(context.Context, credit.Key, credit.Limit) (credit.Grant, *credit.Denial) {
	time.Sleep(30 * time.Millisecond)
	return credit.Grant{}, &credit.Denial{Unavailable: true}
}

func (unreachableOwner) Return(credit.Grant) {}

const coldRate = 5

// newColdPool returns a pool of an instance whose targets tolerate coldRate requests a second while they are cold. It shows time
// since a start.
func newColdPool(source credit.Source, now func() time.Duration, targets ...registry.Target) *Pool {
	p := NewPool(DefaultPolicy(), "a", now, rand.New(rand.NewPCG(1, 2)))
	p.Credit = source
	p.SetWarmup(coldRate, 1)
	p.SetTargets(targets, 1, time.Now())
	p.report(0, targets...)
	return p
}

// report gives all targets a load report with a number of running requests.
func (p *Pool) report(running int, targets ...registry.Target) {
	for _, r := range targets {
		p.UpdateLoad([]TargetLoad{{p.Target(r.ID), LoadReport{Running: running, Slots: r.Slots, Slowdown: 1, ReceivedAt: p.now()}}})
	}
}

func coldRequest(p *Pool) *Request {
	return &Request{Route: "r", Objective: time.Second, Arrived: p.now(), Deadline: p.now() + 2500*time.Millisecond}
}

// acquireAndRelease decides a request and ends it at once.
func acquireAndRelease(t *testing.T, p *Pool) Decision {
	t.Helper()
	r := coldRequest(p)
	d := p.Acquire(t.Context(), r)
	if d.Target != nil {
		p.Release(r, d, DoneInfo{Result: Cancelled})
	}
	return d
}

// inBubble runs a test in virtual time, with a clock that shows the time since its start.
func inBubble(t *testing.T, test func(t *testing.T, now func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		test(t, func() time.Duration { return time.Since(start) + time.Minute })
	})
}

// Guards against requests to a cold target without a credit, and against credits for targets that are warm.
func TestOnlyColdTargetsNeedCredit(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		owner := newFakeOwner(now)
		p := newColdPool(owner, now, target("t1", "a"))
		if d := acquireAndRelease(t, p); d.hasCredit || owner.asked != 0 {
			t.Errorf("a request for a warm target asks for %d credits", owner.asked)
		}
		p.MarkCold("t1", now()+10*time.Second)
		owner.buckets["t1"] = &bucket{tokens: 1, filledAt: now()}
		if d := acquireAndRelease(t, p); d.Target == nil || !d.hasCredit || owner.asked != 1 {
			t.Errorf("decision %+v for a cold target after %d asks", d, owner.asked)
		}
		p.SetWarmup(0, 2)
		if d := acquireAndRelease(t, p); d.Target == nil || owner.asked != 1 {
			t.Errorf("decision %+v without a limit after %d asks", d, owner.asked)
		}
		p.SetWarmup(coldRate, 3)
		time.Sleep(10 * time.Second)
		if d := acquireAndRelease(t, p); d.Target == nil || owner.asked != 1 {
			t.Errorf("decision %+v for a target that is warm again after %d asks", d, owner.asked)
		}
	})
}

// Guards against coldness that is forgotten with the next list of targets, or that only one of entry, load report and answer makes
// known.
func TestWhatMakesATargetCold(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		p := newColdPool(newFakeOwner(now), now, target("t1", "a"))
		isCold := func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.limitsCold(p.byID["t1"], now())
		}
		entry := target("t1", "a")
		entry.WarmupEnd = time.Now().Add(time.Second)
		p.SetTargets([]registry.Target{entry}, 1, time.Now())
		if !isCold() {
			t.Error("the entry does not make the target cold")
		}
		p.SetTargets([]registry.Target{target("t1", "a")}, 1, time.Now())
		if isCold() {
			t.Error("the target is cold although its entry is that of a warm one")
		}
		p.UpdateLoad([]TargetLoad{{p.Target("t1"), LoadReport{Slowdown: 1, ReceivedAt: now(), ColdFor: time.Second}}})
		p.SetTargets([]registry.Target{target("t1", "a")}, 1, time.Now())
		if !isCold() {
			t.Error("a load report does not make the target cold, or a list of targets makes it warm")
		}
		time.Sleep(time.Second)
		if isCold() {
			t.Error("coldness does not end")
		}
		d := p.Acquire(t.Context(), coldRequest(p))
		p.Release(coldRequest(p), d, DoneInfo{ColdFor: time.Second})
		if !isCold() {
			t.Error("an answer does not make the target cold")
		}
	})
}

// Guards against a request that is decided while its target is warm, or whose credit expires while it waits for a connection, and is
// sent to the cold target all the same.
func TestDecisionWithoutValidCreditIsNotSent(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		owner := newFakeOwner(now)
		p := newColdPool(owner, now, target("t1", "a"))
		early := p.Acquire(t.Context(), coldRequest(p))
		p.MarkCold("t1", now()+10*time.Second)
		if p.AcceptsDecision(early) {
			t.Error("a decision of before the target turned cold is accepted")
		}
		owner.buckets["t1"] = &bucket{tokens: 1, filledAt: now()}
		d := p.Acquire(t.Context(), coldRequest(p))
		if !p.AcceptsDecision(d) || now() != d.SentAt() {
			t.Errorf("the decision with a credit is not accepted, or counts from %s at %s", d.SentAt(), now())
		}
		time.Sleep(owner.validity + time.Millisecond)
		if p.AcceptsDecision(d) {
			t.Error("a decision with an expired credit is accepted")
		}
		// A source that knows a newer configuration without a limit hands out grants that need no credit.
		d.grant = credit.Grant{}
		if !p.AcceptsDecision(d) {
			t.Error("a decision that needs no credit is not accepted")
		}
	})
}

// Guards against credits that are lost with requests that were never sent, that are returned for requests that ran, or that are
// returned twice.
func TestCreditIsReturnedOnce(t *testing.T) {
	cases := []struct {
		done DoneInfo
		want int
	}{
		{DoneInfo{Result: Cancelled, NotReached: true}, 1}, {DoneInfo{Result: ConnectFailed}, 1}, {DoneInfo{Result: Shed, NotReached: true}, 1},
		{DoneInfo{Result: Cancelled}, 0}, {DoneInfo{Result: Answered}, 0}, {DoneInfo{Result: Failed}, 0}, {DoneInfo{Result: Shed}, 0},
	}
	for _, c := range cases {
		inBubble(t, func(t *testing.T, now func() time.Duration) {
			owner := newFakeOwner(now)
			p := newColdPool(owner, now, target("t1", "a"))
			p.MarkCold("t1", now()+10*time.Second)
			owner.buckets["t1"] = &bucket{tokens: 1, filledAt: now()}
			r := coldRequest(p)
			d := p.Acquire(t.Context(), r)
			p.Release(r, d, c.done)
			if owner.returned[d.grant.ID] != c.want {
				t.Errorf("%+v: the credit was returned %d times, want %d", c.done, owner.returned[d.grant.ID], c.want)
			}
			if u := p.Usage(); u != (Usage{}) || p.byID["t1"].pendingCredits != 0 {
				t.Errorf("%+v: usage %+v afterwards", c.done, u)
			}
		})
	}
}

// panickingOwner fails with a panic.
type panickingOwner struct{ unreachableOwner }

func (panickingOwner) Acquire(context.Context, credit.Key, credit.Limit) (credit.Grant, *credit.Denial) {
	panic("owner fault")
}

// Guards against slots and pending credits that are lost with a panic, or with a caller that leaves while a credit is asked for, and
// against one caller's departure that makes the target count as without credit for all.
func TestFailedAskFreesTheSlot(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		p := newColdPool(panickingOwner{}, now, target("t1", "a"))
		p.MarkCold("t1", now()+10*time.Second)
		func() {
			defer func() { _ = recover() }()
			p.Acquire(t.Context(), coldRequest(p))
		}()
		if u := p.Usage(); u != (Usage{}) || p.byID["t1"].pendingCredits != 0 {
			t.Errorf("usage %+v after a panic", u)
		}
		owner := newFakeOwner(now)
		p = newColdPool(owner, now, target("t1", "a"))
		p.MarkCold("t1", now()+10*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if d := p.Acquire(ctx, coldRequest(p)); d.Refusal != reason.CallerLeftEarly {
			t.Errorf("decision %+v for a caller that left", d)
		}
		if u := p.Usage(); u != (Usage{}) || p.byID["t1"].pendingCredits != 0 || p.byID["t1"].deniedUntil != 0 {
			t.Errorf("usage %+v after a caller left", u)
		}
	})
}

// Guards against requests that are refused because the sampled targets are cold, although warm ones are there.
func TestWarmTargetsBeyondTheSample(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		var targets []registry.Target
		for i := range 4 * fullScanLimit {
			targets = append(targets, target(fmt.Sprintf("t%02d", i), "a"))
		}
		p := newColdPool(unreachableOwner{}, now, targets...)
		for _, r := range targets[1:] {
			p.MarkCold(r.ID, now()+time.Minute)
			p.Target(r.ID).deniedUntil = now() + time.Minute
		}
		if d := p.Acquire(t.Context(), coldRequest(p)); d.Target == nil || d.Target.ID != targets[0].ID {
			t.Errorf("decision %+v, want the only warm target", d)
		}
	})
}

// Guards against requests that are refused although the next credit comes in time for their latency objective, or that nothing wakes
// when it comes.
func TestRequestWaitsForCredit(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		owner := newFakeOwner(now)
		p := newColdPool(owner, now, target("t1", "a"))
		p.MarkCold("t1", now()+10*time.Second)
		for range 3 {
			started := now()
			d := acquireAndRelease(t, p)
			if d.Target == nil || !d.hasCredit || d.Inputs.DeniedCredits == 0 {
				t.Errorf("decision %+v", d)
			}
			if waited := now() - started; waited > time.Second/coldRate+3*owner.delay+minCreditPause {
				t.Errorf("the request waited %s", waited)
			}
		}
	})
}

// Guards against an instance without an owner that sends to cold targets, that keeps its requests until their deadline, or that does
// not tell why it refuses.
func TestUnreachableOwner(t *testing.T) {
	inBubble(t, func(t *testing.T, now func() time.Duration) {
		p := newColdPool(unreachableOwner{}, now, target("t1", "a"), target("t2", "a"))
		p.MarkCold("t1", now()+10*time.Second)
		p.MarkCold("t2", now()+10*time.Second)
		for range 5 {
			started := now()
			d := p.Acquire(t.Context(), coldRequest(p))
			var cause *ColdTargetsError
			if d.Target != nil || d.Refusal != reason.ColdTargets || d.RetryAfter <= 0 || !errors.As(d.Cause, &cause) || cause.Unavailable == 0 {
				t.Fatalf("decision %+v, cause %v", d, d.Cause)
			}
			if waited := now() - started; waited > 500*time.Millisecond {
				t.Errorf("refused after %s", waited)
			}
		}
		p.MarkCold("t2", 0)
		p.byID["t2"].coldUntil = 0
		if d := p.Acquire(t.Context(), coldRequest(p)); d.Target == nil || d.Target.ID != "t2" {
			t.Errorf("decision %+v, want the warm target", d)
		}
	})
}
