package dispatch

import (
	"slices"
	"time"
)

// A service is crowded when a good part of its slots is taken. Then many instances look for the same few free slots, and
// each would fill them by readings that do not show what the others have sent since. In that state a request is announced
// to the instance that reads the target's zone before it is sent, and that instance denies it when the slots are taken.
// Without an answer the request is sent, so that a silent reader costs one pause.

const (
	// claimPause is how long a claim of a target of the own zone waits for a denial, and remoteClaimPause of another zone.
	// A datagram and its answer take 2 to 3 ms within a zone and 3 to 5 ms between zones.
	claimPause       = 3 * time.Millisecond
	remoteClaimPause = 6 * time.Millisecond
	// crowdedShare is the share of the usable slots from which on a service is crowded.
	crowdedShare = 0.45
	// contendedMargin is how many usable slots may be left when a target counts as nearly full.
	contendedMargin = 2
)

// claim is the intent to send a request to a target.
type claim struct {
	target *Target
	number uint32
	denied bool
}

func (c *claim) pause() time.Duration {
	if c.target.local {
		return claimPause
	}
	return remoteClaimPause
}

// Claimed notes that another instance is about to send a request to a target. It reports false, with the requests that
// the target holds, when no slot is free.
func (p *Pool) HandleClaim(id string) (room bool, occupied int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byID[id]
	if t == nil {
		return true, 0
	}
	now := p.now()
	if occupied = t.occupied(now, &p.policy); occupied >= t.usable(&p.policy) {
		return false, occupied
	}
	t.note(now+claimPause, 1)
	return true, occupied + 1
}

// Denied withdraws a claim of a target that holds a number of requests.
func (p *Pool) HandleDenial(id string, number uint32, occupied int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byID[id]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.claims, func(c *claim) bool { return c.number == number })
	if i < 0 {
		return
	}
	c := t.claims[i]
	c.denied = true
	t.claims = slices.Delete(t.claims, i, i+1)
	t.own--
	now := p.now()
	t.note(now, -1)
	if unseen := occupied - t.occupied(now, &p.policy); unseen > 0 {
		t.note(now, unseen)
	}
}

// needsClaim reports whether a request for a target is announced before it is sent. The lock is held.
func (p *Pool) needsClaim(t *Target, inputs Inputs) bool {
	if p.SendClaim == nil || p.sharers == 1 {
		return false
	}
	return inputs.InFlight+contendedMargin >= t.usable(&p.policy) || float64(inputs.filled) > crowdedShare*float64(inputs.usable)
}

// confirm ends a claim. It reports whether the request may be sent.
func (p *Pool) confirm(c *claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.denied {
		return false
	}
	c.target.claims = slices.DeleteFunc(c.target.claims, func(other *claim) bool { return other == c })
	return true
}
