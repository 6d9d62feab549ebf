package credit

import (
	"math"
	"time"
)

const (
	// lifetimeShare is the part of the tolerated overage of a window that covers credits that are spent later than they were
	// debited.
	lifetimeShare = 0.5
	// minLifetime covers an ask, its repetition and the answer on a busy machine.
	minLifetime = 100 * time.Millisecond
	// maxLifetime keeps credits from lying idle on an instance while others are refused.
	maxLifetime = 500 * time.Millisecond
	// rateShare is the part of the tolerated overage that the rate of a bucket uses. It makes up for credits that are lost.
	rateShare = 0.125
	// initialShare is the part of what is tolerated beyond the burst that buckets of new owners start with. The rest enlarges the
	// buckets.
	initialShare = 0.6
	// firstInitialShare is the part of the initial credit of a new owner if there was no other for a while. Owners that follow
	// each other in quick succession share the rest.
	firstInitialShare = 0.75
	// maxRate, in requests per second, and maxBurst, in requests, are the largest limits, so that sums stay exact.
	maxRate, maxBurst = 1e9, 1e9
)

// Lifetime returns the time for which a credit may be spent, counted from the moment at which the owner was asked. It does not
// depend on the size of the limit, so that instances agree on it while they know different versions of the limit.
func (b Bounds) Lifetime(_ Limit) time.Duration {
	late := time.Duration(lifetimeShare * b.overage() * float64(b.Window))
	return min(max(late, minLifetime), maxLifetime)
}

// Valid reports whether a request may still be sent with the credit. The spender checks it right before the send, as the
// process may have been suspended since the credit was acquired. A grant that needs no credit is always valid.
func (g Grant) Valid(now time.Duration) bool { return g.ID == 0 || now < g.ExpiresAt }

// valid reports whether the limit can be computed with.
func (l Limit) valid() bool {
	return l.Rate >= 0 && l.Rate <= maxRate && l.Burst >= 0 && l.Burst <= maxBurst // Both are false for NaN.
}

// unlimited reports whether no credit is needed.
func (l Limit) unlimited() bool { return l.Rate == 0 }

// overage returns the tolerated overage, or 0 if it is not a sensible number.
func (b Bounds) overage() float64 { return sensible(b.Overage) }

func (b Bounds) slack() float64 { return sensible(b.Slack) }

func sensible(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// allowed returns the number of requests that a window may hold.
func (b Bounds) allowed(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.overage()) + b.slack()
}

// shape is the size of a token bucket that keeps a limit within its bounds.
type shape struct {
	// rate is in credits per second, capacity in credits.
	rate, capacity float64
	// initial is the number of credits with which the buckets of all owners start that begin within one window and lifetime.
	initial float64
}

// shape returns the size of the bucket for a limit, such that
//
//	rate x (Window + Lifetime) + capacity + initial <= allowed
//
// docs/design/credit.md proves that no window exceeds its bound then.
func (b Bounds) shape(l Limit) shape {
	allowed, span := b.allowed(l), b.span(l).Seconds()
	rate := max(min(l.Rate*(1+rateShare*b.overage()), (allowed-1)/span), 0)
	rest := allowed - rate*span
	capacity := min(rest, max(1, l.Burst+(1-initialShare)*(rest-l.Burst)))
	return shape{rate: rate, capacity: capacity, initial: rest - capacity}
}

// span is the time within which the credits were debited that can be spent in one window.
func (b Bounds) span(l Limit) time.Duration { return b.Window + b.Lifetime(l) }

// startLevel returns the number of credits with which a bucket starts, by the time since the previous ownership, which is
// negative if there was none. Of the ownerships that begin within one span, all but the first follow another one within it.
func (b Bounds) startLevel(l Limit, sincePrevious time.Duration) float64 {
	s, span := b.shape(l), b.span(l)
	level := firstInitialShare * s.initial
	if sincePrevious >= 0 && sincePrevious < span {
		level = (1 - firstInitialShare) * s.initial * float64(sincePrevious) / float64(span)
	}
	return min(level, s.capacity)
}
