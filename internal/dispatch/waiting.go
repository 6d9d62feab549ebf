package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// waiter is a request in the queue of a Pool.
type waiter struct {
	request  *Request
	decision chan Decision
}

// dispatchJitter is the time over which instances spread their reaction to a load report. All of them see the same free
// slots at the same time; those that decide later already know of the requests that the others sent.
const dispatchJitter = 4 * time.Millisecond

// scheduleDispatch schedules dispatchWaiting after a random delay. The caller holds p.mu.
func (p *Pool) scheduleDispatch() {
	if len(p.waiting) == 0 || p.dispatchScheduled {
		return
	}
	if p.instances == 1 {
		p.dispatchWaiting(p.now())
		return
	}
	p.dispatchAfter(time.Duration(p.random.Int64N(int64(dispatchJitter))))
}

// firstReportWait is how long after the start of an instance requests wait for the first load report of a target. When
// all instances start together, the requests that have queued up would otherwise fill the targets several times over.
const firstReportWait = 100 * time.Millisecond

// scheduleFirstReportDeadline schedules dispatchWaiting for the end of firstReportWait, in case no load report arrives
// before. The caller holds p.mu.
func (p *Pool) scheduleFirstReportDeadline(now time.Duration) {
	if now < p.firstReportDeadline && !p.firstReportTimerSet && len(p.waiting) > 0 {
		p.firstReportTimerSet = true
		time.AfterFunc(p.firstReportDeadline-now, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.dispatchWaiting(p.now())
		})
	}
}

// scheduleLeaseEnd schedules dispatchWaiting for the next end of a lease, because targets without load reports give no other
// sign of a free slot. The caller holds p.mu.
func (p *Pool) scheduleLeaseEnd(now time.Duration) {
	if len(p.waiting) == 0 || p.dispatchScheduled {
		return
	}
	if next := p.nextLeaseEnd(now); next > 0 {
		p.dispatchAfter(next - now)
	}
}

// dispatchAfter calls dispatchWaiting after a delay. The caller holds p.mu.
func (p *Pool) dispatchAfter(delay time.Duration) {
	p.dispatchScheduled = true
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatchScheduled = false
		now := p.now()
		p.dispatchWaiting(now)
		p.scheduleLeaseEnd(now)
	})
}

// Acquire waits until the request is assigned to a target or refused. If the claim of a target is denied, the request is
// decided again, as it is without a credit for a cold target. If the decision has a target, the caller must call Release when the
// exchange has ended.
func (p *Pool) Acquire(ctx context.Context, r *Request) Decision {
	for deniedClaims, deniedCredits := 0, 0; ; {
		d := p.acquire(ctx, r)
		d.Inputs.DeniedClaims, d.Inputs.DeniedCredits = deniedClaims, deniedCredits
		switch {
		case d.needsCredit:
			if p.obtainCredit(ctx, &d) {
				return d
			}
			if ctx.Err() != nil {
				return p.refuseLeft(r)
			}
			deniedCredits++
		case d.claim != nil:
			if p.confirmClaim(r, d) {
				return d
			}
			deniedClaims++
		default:
			return d
		}
	}
}

// refuseLeft refuses a request whose caller has left.
func (p *Pool) refuseLeft(r *Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse(r, reason.CallerLeftEarly, p.now())
}

// confirmClaim sends the claim of a decision and waits for a denial. It reports whether the request may be sent. If it panics,
// it gives the claim and the slot back.
func (p *Pool) confirmClaim(r *Request, d Decision) (confirmed bool) {
	returned := false
	defer func() {
		if !returned && p.confirm(d.claim) {
			p.Release(r, d, DoneInfo{Result: Cancelled})
		}
	}()
	if p.SendClaim(d.Target.ID, d.claim.number, d.claim.expected) {
		time.Sleep(d.claim.timeout())
	}
	returned = true
	return p.confirm(d.claim)
}

// acquire queues the request and waits for a decision. It neither sends nor confirms the claim of the decision.
func (p *Pool) acquire(ctx context.Context, r *Request) Decision {
	w := &waiter{request: r, decision: make(chan Decision, 1)}
	wait := p.startWaiting(w)
	select {
	case d := <-w.decision:
		return d
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-w.decision:
		return d
	case <-timer.C:
		if d, decided := p.decideAtWaitLimit(w); decided {
			return d
		}
		return p.abandon(w, reason.Overloaded)
	case <-ctx.Done():
		return p.abandon(w, reason.CallerLeftEarly)
	}
}

// startWaiting adds a request to the queue, decides the waiting requests and returns how long this one may wait.
func (p *Pool) startWaiting(w *waiter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	wait := max(p.waitLimit(w.request)-now, 0)
	p.enqueue(w)
	p.dispatchWaiting(now)
	p.scheduleFirstReportDeadline(now)
	p.scheduleLeaseEnd(now)
	p.scheduleNextCredit(now)
	return wait
}

// decideAtWaitLimit decides a request that has reached its wait limit. It removes the request from the queue, because a
// request that stayed would be decided again, and nobody would send or release it. It reports false if the request cannot be
// decided or was decided before.
func (p *Pool) decideAtWaitLimit(w *waiter) (Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return Decision{}, false
	}
	d, decided := p.decideGuarded(w.request, p.now(), i)
	if decided {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return d, decided
}

// decideGuarded is like decide, but refuses a request whose decision panics. The decisions of all waiting requests are made in
// one go, by the goroutine of any of them or of the control loop, which must not fail because of another request. The caller
// holds p.mu.
func (p *Pool) decideGuarded(r *Request, now time.Duration, ahead int) (d Decision, decided bool) {
	err := panicguard.Catch(func() error {
		d, decided = p.decide(r, now, ahead)
		return nil
	})
	if err != nil {
		return Decision{Refusal: reason.NoDecision, Cause: err, RetryAfter: minRetryAfter, Inputs: Inputs{ReportAge: -1}}, true
	}
	return d, decided
}

// abandon removes a waiting request from the queue and refuses it, unless it has been decided meanwhile.
func (p *Pool) abandon(w *waiter, refusal *reason.Reason) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w.decision:
		return d
	default:
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	return p.refuse(w.request, refusal, p.now())
}

// enqueue inserts a request into the queue, which is ordered by priority, then arrival. The caller holds p.mu.
func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.request.Priority != b.request.Priority {
			return a.request.Priority - b.request.Priority
		}
		if a.request.Arrived <= b.request.Arrived {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
}

// dispatchWaiting decides the waiting requests in order and keeps those that have to wait longer. The caller holds p.mu.
func (p *Pool) dispatchWaiting(now time.Duration) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		d, decided := p.decideGuarded(w.request, now, len(kept))
		if !decided {
			kept = append(kept, w)
			continue
		}
		w.decision <- d
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// waitLimit returns the time up to which a request may wait for a slot: while its answer can still arrive within the
// latency objective, and at most WaitShare of the objective. Every request may wait for minWaitShare of the objective,
// but not beyond its deadline. The caller holds p.mu.
func (p *Pool) waitLimit(r *Request) time.Duration {
	serviceTime := p.routeEstimateOf(r).meanServiceTime()
	objective := float64(r.Objective)
	wait := min(objective*p.policy.WaitShare, objective-float64(serviceTime)*p.expectedSlowdown(serviceTime))
	return min(r.Arrived+time.Duration(max(wait, objective*minWaitShare)), r.Deadline)
}

// minWaitShare is the share of the latency objective that every request may wait for a slot.
const minWaitShare = 0.1

// expectedSlowdown returns the mean slowdown, over the service time, of a target that was chosen because its slowdown
// was reported as 1. The caller holds p.mu.
func (p *Pool) expectedSlowdown(serviceTime time.Duration) float64 {
	span := float64(serviceTime) / float64(slowdownTimeConstant)
	return p.meanSlowdown + (1-p.meanSlowdown)*(1-math.Exp(-span))/span
}
