package dispatch

import "time"

// maxPause bounds the pause that a target may ask for, so that times do not overflow.
const maxPause = 24 * time.Hour

// maxRestrictions bounds the incarnations whose wishes are remembered while they are not registered.
const maxRestrictions = 1024

// restriction is what an incarnation of a target asked of this instance in its answers.
type restriction struct {
	// leaving is true when it takes no further request.
	leaving bool
	// pausedUntil is until when it takes none.
	pausedUntil time.Duration
}

// forbids reports whether no request may be sent at a time.
func (r restriction) forbids(now time.Duration) bool { return r.leaving || now < r.pausedUntil }

// Leave notes that a target said that it is leaving. It reports whether that is news.
func (p *Pool) MarkDraining(t *Target) bool {
	return p.restrict(t, func(r *restriction) bool {
		news := !r.leaving
		r.leaving = true
		return news
	})
}

// Pause notes that a target wants no request of this instance for a time. It reports whether that is news.
func (p *Pool) SetBackoff(t *Target, length time.Duration) bool {
	until := p.now() + min(length, maxPause)
	return p.restrict(t, func(r *restriction) bool {
		news := until > r.pausedUntil
		r.pausedUntil = max(r.pausedUntil, until)
		return news
	})
}

// restrict changes the restriction of a target. Waiting requests are decided again, so that one that no target may receive any
// more is refused.
func (p *Pool) restrict(t *Target, change func(*restriction) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !change(&t.restriction) {
		return false
	}
	p.restrictions[t.Incarnation()] = t.restriction
	p.serveSoon()
	return true
}

// Accepts reports whether a target may receive requests: it is registered, and did not ask for a pause or say that it leaves.
func (p *Pool) Accepts(t *Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t != nil && p.byID[t.ID] == t && !t.forbids(p.now())
}

// recall gives a target that is registered again what its incarnation asked for before. The lock is held.
func (p *Pool) recall(t *Target) { t.restriction = p.restrictions[t.Incarnation()] }

// forgetRestrictions forgets pauses that have ended and, when there are many, what targets that are not registered asked for. The
// lock is held.
func (p *Pool) forgetRestrictions(now time.Duration) {
	registered := map[string]bool{}
	for _, t := range p.targets {
		registered[t.Incarnation()] = true
	}
	for incarnation, r := range p.restrictions {
		if !r.forbids(now) || len(p.restrictions) > maxRestrictions && !registered[incarnation] {
			delete(p.restrictions, incarnation)
		}
	}
}

// shortestPause is the time until the first paused target takes requests again, 0 if none is paused. The lock is held.
func (p *Pool) shortestPause(now time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, t := range p.targets {
		if left := t.pausedUntil - now; left > 0 && !t.leaving && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
