package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// When a large share of a service's slots is taken, many instances compete for the few free ones, and their load reports
// do not show yet what the others have sent. In that state an instance announces a request to the leader of the target's
// zone before sending it, and the leader denies the claim if all slots of the target are taken. Without a denial in time
// the request is sent, so that an unresponsive leader costs one claim timeout.

const (
	// localClaimTimeout and remoteClaimTimeout are how long a claim of a target in the own or in another zone waits for a
	// denial. A datagram and its answer take 2 to 3 ms within a zone and 3 to 5 ms between zones.
	localClaimTimeout  = 3 * time.Millisecond
	remoteClaimTimeout = 6 * time.Millisecond
	// saturatedShare is the share of used slots above which requests for any target of the service need a claim.
	saturatedShare = 0.45
	// nearlyFullMargin is the number of free usable slots at or below which requests for a target need a claim.
	nearlyFullMargin = 2
)

// claim is a request for a slot of a target, sent to the leader of the target's zone.
type claim struct {
	target *Target
	number uint32
	denied bool
	// expected is how long the request is expected to be in flight.
	expected time.Duration
	// sendAt is when the request is sent unless the claim is denied.
	sendAt time.Duration
}

func (c *claim) timeout() time.Duration {
	if c.target.local {
		return localClaimTimeout
	}
	return remoteClaimTimeout
}

// HandleClaim decides on the claim of another instance for a slot of the target with the given id. If a slot is free, it
// counts the request that the other instance is about to send, for the time that it is expected to take, or for the mean time
// of requests if that is 0. It returns the number of requests in flight on the target, including a granted one. A claim for
// an unknown target is granted and not counted.
func (p *Pool) HandleClaim(id string, expected time.Duration) (granted bool, inFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byID[id]
	if t == nil {
		return true, 0
	}
	now := p.now()
	if inFlight = t.knownInFlight(now, &p.policy); inFlight >= t.usableSlots(&p.policy) {
		return false, inFlight
	}
	t.addLease(now, lease{sentAt: now + localClaimTimeout}, cmp.Or(expected, p.meanRequestTime()))
	return true, inFlight + 1
}

// HandleDenial withdraws the claim with the given number, unless the request has been sent already. The denial reports
// how many requests are in flight on the target.
func (p *Pool) HandleDenial(id string, number uint32, inFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byID[id]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.pendingClaims, func(c *claim) bool { return c.number == number })
	if i < 0 {
		return
	}
	c := t.pendingClaims[i]
	c.denied = true
	t.pendingClaims = slices.Delete(t.pendingClaims, i, i+1)
	t.ownInFlight--
	now := p.now()
	t.recordEnd(now, c.sendAt)
	t.applyDenial(now, inFlight, t.knownInFlight(now, &p.policy), c.expected)
}

// needsClaim reports whether a request for the target must be claimed before it is sent. The caller holds p.mu.
func (p *Pool) needsClaim(t *Target, inputs Inputs) bool {
	if p.SendClaim == nil || p.instances == 1 {
		return false
	}
	return inputs.InFlight+nearlyFullMargin >= t.usableSlots(&p.policy) || float64(inputs.usedSlots) > saturatedShare*float64(inputs.usableSlots)
}

// confirm closes a claim after its timeout. It reports whether the request may be sent.
func (p *Pool) confirm(c *claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.denied {
		return false
	}
	c.target.pendingClaims = slices.DeleteFunc(c.target.pendingClaims, func(other *claim) bool { return other == c })
	return true
}
