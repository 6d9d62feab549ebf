package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

type waiter struct {
	ask   *Request
	ready chan Decision
}

// serveJitter is the time over which instances spread their reaction to a reading. All of them see the same free slots at
// the same moment; those that look later know of the requests that the others sent.
const serveJitter = 4 * time.Millisecond

// serveSoon decides the waiting requests after a random pause. The lock is held.
func (p *Pool) serveSoon() {
	if len(p.waiting) == 0 || p.serving {
		return
	}
	if p.sharers == 1 {
		p.serveWaiting(p.now())
		return
	}
	p.serveAfter(time.Duration(p.random.Int64N(int64(serveJitter))))
}

// blindTime is how long after the start of an instance requests wait for the first reading of a target. When all
// instances start together, the requests that have piled up would fill the targets several times over.
const blindTime = 100 * time.Millisecond

// endBlindness lets the waiting requests be decided at the end of the blind time, when no reading has come. The lock is
// held.
func (p *Pool) endBlindness(now time.Duration) {
	if now < p.blindUntil && !p.awaitingSight && len(p.waiting) > 0 {
		p.awaitingSight = true
		time.AfterFunc(p.blindUntil-now, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.serveWaiting(p.now())
		})
	}
}

// serveAfter decides the waiting requests after a pause. The lock is held.
func (p *Pool) serveAfter(pause time.Duration) {
	p.serving = true
	time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serving = false
		p.serveWaiting(p.now())
	})
}

// Acquire waits until a target may receive the request or the request is refused. Release must follow when a target was
// chosen.
func (p *Pool) Acquire(ctx context.Context, ask *Request) Decision {
	for denied := 0; ; denied++ {
		d := p.acquire(ctx, ask)
		d.Inputs.DeniedClaims = denied
		if d.claim == nil {
			return d
		}
		if p.SendClaim(d.Target.ID, d.claim.number) {
			time.Sleep(d.claim.pause())
		}
		if p.confirm(d.claim) {
			return d
		}
	}
}

// acquire waits for a decision.
func (p *Pool) acquire(ctx context.Context, ask *Request) Decision {
	p.mu.Lock()
	now := p.now()
	w := &waiter{ask: ask, ready: make(chan Decision, 1)}
	p.enqueue(w)
	p.serveWaiting(now)
	p.endBlindness(now)
	wait := max(p.waitLimit(ask)-now, 0)
	p.mu.Unlock()
	select {
	case d := <-w.ready:
		return d
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-w.ready:
		return d
	case <-timer.C:
		return p.decideLast(w)
	case <-ctx.Done():
		return p.abandon(w, reason.CallerLeftEarly)
	}
}

// decideLast decides a request that has waited as long as it may. The request leaves the queue: one that stayed would be
// decided again, and nobody would send or release it.
func (p *Pool) decideLast(w *waiter) Decision {
	p.mu.Lock()
	now := p.now()
	if i := slices.Index(p.waiting, w); i >= 0 {
		if d, decided := p.decide(w.ask, now, i); decided {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.mu.Unlock()
			return d
		}
	}
	p.mu.Unlock()
	return p.abandon(w, reason.Overloaded)
}

// abandon withdraws a waiting request, unless it has been decided meanwhile.
func (p *Pool) abandon(w *waiter, why *reason.Reason) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w.ready:
		return d
	default:
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	return p.refuse(w.ask, why, p.now())
}

// enqueue keeps the waiting requests ordered by priority, then arrival. The lock is held.
func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.ask.Priority != b.ask.Priority {
			return a.ask.Priority - b.ask.Priority
		}
		if a.ask.Arrived <= b.ask.Arrived {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
}

// serveWaiting decides the waiting requests in order. The lock is held.
func (p *Pool) serveWaiting(now time.Duration) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		d, decided := p.decide(w.ask, now, len(kept))
		if !decided {
			kept = append(kept, w)
			continue
		}
		w.ready <- d
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// waitLimit is when a request that still waits is refused: when its answer would come after its latency objective, and at
// the latest after its share of it.
// The lock is held.
func (p *Pool) waitLimit(a *Request) time.Duration {
	work := p.workOf(a).estimate()
	span := float64(a.Objective)
	wait := min(span*p.policy.WaitShare, span-float64(work)*p.meanPaceOf(work))
	return min(a.Arrived+time.Duration(max(wait, span*leastWaitShare)), a.Deadline)
}

// leastWaitShare is the share of the latency objective that every request may wait for a slot.
const leastWaitShare = 0.1

// meanPaceOf is the expected pace of work on a target that was chosen for a good reading.
func (p *Pool) meanPaceOf(work time.Duration) float64 {
	span := float64(work) / float64(paceMemory)
	return p.meanPace + (1-p.meanPace)*(1-math.Exp(-span))/span
}
