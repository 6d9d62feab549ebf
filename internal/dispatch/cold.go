package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
)

// A cold target tolerates few requests a second from all instances together, and crashes beyond. A request for one gets a credit
// after the target was chosen and before it is sent. Without a credit the target is skipped until the next one is expected, and the request
// is decided again.

const (
	// maxPendingCredits is the largest number of requests of this instance that wait for a credit of one target. Further ones
	// would mostly be denied.
	maxPendingCredits = 2
	// minCreditPause is the shortest time for which a target is skipped after a denial.
	minCreditPause = 20 * time.Millisecond
	// unavailablePause is that time if the owner of the credits was not reached, whatever the denial says: another owner may be in
	// reach soon, and asking costs nothing while none is known.
	unavailablePause = 250 * time.Millisecond
)

// creditState is the state of the credits of a cold target.
type creditState struct {
	// pendingCredits is the number of requests of this instance that wait for a credit.
	pendingCredits int
	// deniedUntil is the time until which the target is skipped after a denial, and ownerUnavailable tells that no owner answered.
	deniedUntil      time.Duration
	ownerUnavailable bool
}

// coldCandidates counts the cold targets of a decision.
type coldCandidates struct {
	// candidates are those for which a credit may be asked for. The others were skipped.
	candidates int
	// denied targets have no credit until nextCredit. The owner is not reached for those that are unavailable. For pending ones
	// enough requests wait for a credit.
	denied, unavailable, pending int
	nextCredit                   time.Duration
}

// skipped reports whether a target was skipped for lack of a credit.
func (c *coldCandidates) skipped() bool { return c.denied+c.pending > 0 }

// mayAsk reports whether a credit of a cold target may be asked for, and counts the target otherwise.
func (c *coldCandidates) mayAsk(t *Target, now time.Duration) bool {
	switch {
	case now < t.deniedUntil:
		c.denied++
		if t.ownerUnavailable {
			c.unavailable++
		}
		if c.nextCredit == 0 || t.deniedUntil < c.nextCredit {
			c.nextCredit = t.deniedUntil
		}
	case t.pendingCredits >= maxPendingCredits:
		c.pending++
	default:
		c.candidates++
		return true
	}
	return false
}

// ColdTargetsError is the cause of the refusal of a request for which only cold targets without credit were left.
type ColdTargetsError struct {
	// Targets is the number of these targets, and Unavailable that of those for which the owner of the credits did not answer.
	Targets, Unavailable int
}

func (e *ColdTargetsError) Error() string {
	return fmt.Sprintf("%d cold targets have no credit left; for %d of them the owner did not answer", e.Targets, e.Unavailable)
}

// SetWarmup sets the number of requests a second that a cold target tolerates, 0 for no limit, and the version of the configuration
// that tells it.
func (p *Pool) SetWarmup(rate float64, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmup = credit.NewLimit(rate, 0, version)
}

// isCold reports whether the target is cold, as its entry or an answer told.
func (t *Target) isCold(now time.Duration) bool { return now < max(t.warmUntil, t.coldUntil) }

// ColdTargets returns the number of registered targets that are cold.
func (p *Pool) ColdTargets() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, count := p.now(), 0
	for _, t := range p.targets {
		if t.isCold(now) {
			count++
		}
	}
	return count
}

// limitsCold reports whether a request for the target needs a credit. The caller holds p.mu.
func (p *Pool) limitsCold(t *Target, now time.Duration) bool {
	return p.Credit != nil && p.warmup.Rate > 0 && t.isCold(now)
}

// hasValidCredit reports whether the decision has a credit that has not expired, or a grant that needs none.
func (d Decision) hasValidCredit(now time.Duration) bool {
	return d.hasCredit && d.grant.Valid(now)
}

// AcceptsDecision reports whether a request may still be sent to the target of its decision: the target accepts requests, and
// if it is cold by now, the request has a credit that is still valid.
func (p *Pool) AcceptsDecision(d Decision) bool {
	if !p.Accepts(d.Target) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return !p.limitsCold(d.Target, now) || d.hasValidCredit(now)
}

// obtainCredit gets the credit of a decision. Without one it frees the slot and reports false.
func (p *Pool) obtainCredit(ctx context.Context, d *Decision) (granted bool) {
	returned := false
	defer func() {
		if !returned {
			p.applyCredit(ctx, d, credit.Grant{}, &credit.Denial{Unavailable: true})
		}
	}()
	grant, denial := p.Credit.Acquire(ctx, credit.Key{Kind: credit.ColdTarget, Name: d.Target.ID}, p.warmupLimit())
	returned = true
	return p.applyCredit(ctx, d, grant, denial)
}

func (p *Pool) warmupLimit() credit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.warmup
}

// applyCredit applies the answer for the credit of a decision. It reports whether the request may be sent.
func (p *Pool) applyCredit(ctx context.Context, d *Decision, grant credit.Grant, denial *credit.Denial) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := d.Target
	t.pendingCredits--
	if denial == nil {
		d.grant, d.hasCredit, d.sentAt = grant, true, now
		t.deniedUntil = 0
		p.dispatchWaiting(now)
		return true
	}
	t.ownInFlight--
	t.recordEnd(now, d.sentAt)
	if ctx.Err() == nil {
		t.recordDenial(*denial, now)
	}
	p.dispatchWaiting(now)
	return false
}

// recordDenial skips the target until the next credit is expected.
func (t *Target) recordDenial(denial credit.Denial, now time.Duration) {
	pause := max(denial.RetryAfter, minCreditPause)
	if denial.Unavailable {
		pause = unavailablePause
	}
	t.deniedUntil, t.ownerUnavailable = max(t.deniedUntil, now+pause), denial.Unavailable
}

// decideWithoutCredit decides a request for which only cold targets without credit are left: it waits if it may get a credit in time,
// and is refused otherwise. The caller holds p.mu.
func (p *Pool) decideWithoutCredit(r *Request, now time.Duration, ahead int, cold coldCandidates) (Decision, bool) {
	credits := p.warmup.Rate / float64(time.Second) * float64(cold.denied+cold.pending)
	wait := time.Duration(float64(ahead) / credits)
	if cold.pending == 0 {
		wait += cold.nextCredit - now
	}
	if now+wait < p.waitLimit(r) {
		return Decision{}, false
	}
	d := p.refuseCold(r, now, cold)
	d.RetryAfter = min(max(d.RetryAfter, wait), maxRetryAfter)
	return d, true
}

// refuseCold refuses a request for which only cold targets are left. The caller holds p.mu.
func (p *Pool) refuseCold(r *Request, now time.Duration, cold coldCandidates) Decision {
	d := p.refuse(r, reason.ColdTargets, now)
	d.Cause = &ColdTargetsError{Targets: cold.candidates + cold.denied + cold.pending, Unavailable: cold.unavailable}
	return d
}

// refuseOverloaded refuses a request that would wait for too long. The caller holds p.mu.
func (p *Pool) refuseOverloaded(r *Request, now time.Duration, inputs Inputs) Decision {
	if inputs.cold.candidates == inputs.Candidates {
		return p.refuseCold(r, now, inputs.cold)
	}
	return p.refuse(r, reason.Overloaded, now)
}

// nextCredit returns the next time at which a cold target may have a credit again, or 0 if there is none. The caller holds p.mu.
func (p *Pool) nextCredit(now time.Duration) time.Duration {
	if p.Credit == nil || p.warmup.Rate <= 0 {
		return 0
	}
	next := time.Duration(0)
	for _, t := range p.targets {
		if t.deniedUntil > now && p.limitsCold(t, now) && (next == 0 || t.deniedUntil < next) {
			next = t.deniedUntil
		}
	}
	return next
}

// scheduleNextCredit schedules dispatchWaiting for the next credit. The caller holds p.mu.
func (p *Pool) scheduleNextCredit(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	next := p.nextCredit(now)
	if next == 0 || p.creditTimerAt > now && p.creditTimerAt <= next {
		return
	}
	p.creditTimerAt = next
	time.AfterFunc(next-now, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.now()
		p.dispatchWaiting(now)
		p.scheduleNextCredit(now)
	})
}
