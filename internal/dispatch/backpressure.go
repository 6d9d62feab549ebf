package dispatch

import (
	"time"

	"github.com/basillink/basillink/internal/registry"
)

// maxBackoff caps the backoff that a target may ask for, so that times do not overflow.
const maxBackoff = 24 * time.Hour

// maxBackpressureEntries is the number of stored entries above which those of unregistered incarnations are dropped.
const maxBackpressureEntries = 1024

// backpressure holds the hints that an incarnation of a target gave this instance in its answers.
type backpressure struct {
	// draining is true when the incarnation accepts no further requests.
	draining bool
	// backoffUntil is the time until which the incarnation accepts no requests.
	backoffUntil time.Duration
}

// blocked reports whether the target must not receive requests now.
func (b backpressure) blocked(now time.Duration) bool { return b.draining || now < b.backoffUntil }

// MarkDraining records that a target announced that it is draining. It reports whether that was not known before.
func (p *Pool) MarkDraining(t *Target) bool {
	return p.updateBackpressure(t, func(b *backpressure) bool {
		changed := !b.draining
		b.draining = true
		return changed
	})
}

// SetBackoff records that a target asked for no requests for a time. The longest backoff wins, and it is at most 24 h.
// SetBackoff reports whether it extended the backoff of the target.
func (p *Pool) SetBackoff(t *Target, length time.Duration) bool {
	until := p.now() + min(length, maxBackoff)
	return p.updateBackpressure(t, func(b *backpressure) bool {
		changed := until > b.backoffUntil
		b.backoffUntil = max(b.backoffUntil, until)
		return changed
	})
}

// updateBackpressure applies a change to the backpressure of a target and reports whether it changed. If so, it schedules
// new decisions for the waiting requests, so that those without a remaining target are refused.
func (p *Pool) updateBackpressure(t *Target, update func(*backpressure) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !update(&t.backpressure) {
		return false
	}
	p.storedBackpressure[t.Incarnation()] = t.backpressure
	p.scheduleDispatch()
	return true
}

// Accepts reports whether a target may receive requests: it is registered, not draining and not in a backoff.
func (p *Pool) Accepts(t *Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t != nil && p.byID[t.ID] == t && !t.blocked(p.now())
}

// Detached returns a target that is not registered, with the backpressure of its incarnation. Hints that it is given hold
// once the incarnation is registered.
func (p *Pool) Detached(r registry.Target) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := newTarget(r, p.zone, 0)
	p.restoreBackpressure(t)
	return t
}

// HintsAllow reports whether the incarnation of a target, registered or not, is neither draining nor in a backoff.
func (p *Pool) HintsAllow(r registry.Target) bool {
	t := p.Detached(r)
	return !t.blocked(p.now())
}

// restoreBackpressure gives a target that is registered again the backpressure of its incarnation. The caller holds p.mu.
func (p *Pool) restoreBackpressure(t *Target) { t.backpressure = p.storedBackpressure[t.Incarnation()] }

// pruneBackpressure drops entries whose backoff has ended and, if there are too many entries, those of incarnations that
// are not registered. The caller holds p.mu.
func (p *Pool) pruneBackpressure(now time.Duration) {
	registered := map[string]bool{}
	for _, t := range p.targets {
		registered[t.Incarnation()] = true
	}
	for incarnation, b := range p.storedBackpressure {
		if !b.blocked(now) || len(p.storedBackpressure) > maxBackpressureEntries && !registered[incarnation] {
			delete(p.storedBackpressure, incarnation)
		}
	}
}

// shortestBackoff returns the time until the first backoff of a target ends, or 0 if no target is in a backoff. It skips
// draining targets. The caller holds p.mu.
func (p *Pool) shortestBackoff(now time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, t := range p.targets {
		if remaining := t.backoffUntil - now; remaining > 0 && !t.draining && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}
