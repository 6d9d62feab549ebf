package credit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// waitLimit bounds the wait of a request for the owner's answer. It covers a lost ask, its repetition, and an owner that is
	// busy for some tens of milliseconds.
	waitLimit = 60 * time.Millisecond
	// repeatAfter is longer than an ask and its answer take between availability zones, and leaves time for the second answer.
	repeatAfter = 20 * time.Millisecond
	// askInterval is the shortest time between two asks for one key. It bounds the owner's work for keys with many requests.
	askInterval = 5 * time.Millisecond
	// maxLocalDenial is the time for which requests are refused without a further ask after the owner has refused one.
	maxLocalDenial = 50 * time.Millisecond
	// unavailableRetryAfter is the wait announced to requests while there is no owner. A further owner is expected within it.
	unavailableRetryAfter = time.Second
	// maxAskCount bounds the credits of one ask, so that one instance does not take those of all others.
	maxAskCount = 1024
	// maxPoolKeys is the number of keys of which a pool keeps a state. Beyond it, requests for further keys are refused as
	// unavailable until other keys have been idle.
	maxPoolKeys = 16384
	// minPruneKeys is the number of keys below which idle ones are not looked for.
	minPruneKeys = 1024
)

// PoolConfig is what a pool works with.
type PoolConfig struct {
	// Now returns the time since the start of the process, including suspensions.
	Now    func() time.Duration
	Bounds map[Kind]Bounds
	// Send sends an ask to the owner. It returns false if no owner is known. It does not block. It may call HandleAnswer before it
	// returns.
	Send func(Ask) bool
	// Refund sends a refund to the owner. It does not block.
	Refund func(Refund)
}

// PoolStats counts credits and asks since the start of the process.
type PoolStats struct {
	// Granted, Exhausted, Unavailable and Invalid count the results of Acquire. Invalid counts limits that are not sensible
	// numbers, and unknown kinds. Unlimited requests are not counted.
	Granted, Exhausted, Unavailable, Invalid uint64
	// Returned and Refunded count credits that went back to the stock and to the owner. Expired counts credits that were answered
	// too late, or that expired in stock.
	Returned, Refunded, Expired uint64
	// Asks counts asks without their repetitions, Repeats the repetitions, and Unanswered asks without an answer in time.
	Asks, Repeats, Unanswered uint64
	// Keys is the present number of keys.
	Keys int
}

// Pool is the stock of credits of one instance. It implements Source and is safe for concurrent use.
type Pool struct {
	config PoolConfig

	mu   sync.Mutex
	keys map[Key]*keyState
	// pruneAt is the number of keys at which idle ones are dropped.
	pruneAt int
	// batches holds the asks whose credits have not expired, by number.
	batches map[uint32]*batch
	// grants holds the batches of the credits that were handed out, by id.
	grants     map[uint64]*batch
	lastNumber uint32
	lastGrant  uint64
	stats      PoolStats
}

var _ Source = (*Pool)(nil)

// NewPool returns an empty pool. The numbers of its asks start at random, so that the owner does not take them for those of a
// former process of this instance.
func NewPool(c PoolConfig) *Pool {
	return &Pool{config: c, keys: map[Key]*keyState{}, pruneAt: minPruneKeys, batches: map[uint32]*batch{},
		grants: map[uint64]*batch{}, lastNumber: rand.Uint32()}
}

// Acquire returns one credit, or a denial. It implements Source.
func (p *Pool) Acquire(ctx context.Context, key Key, limit Limit) (Grant, *Denial) {
	now := p.config.Now()
	p.mu.Lock()
	w, grant, denial, out := p.request(now, key, limit)
	p.mu.Unlock()
	p.deliver(out)
	if w == nil {
		return grant, denial
	}
	return p.wait(ctx, w)
}

// request decides on a request at once, or returns a waiter for it. It is called with the lock held.
func (p *Pool) request(now time.Duration, key Key, limit Limit) (*waiter, Grant, *Denial, outbox) {
	var out outbox
	bounds := p.config.Bounds[key.Kind]
	if !limit.valid() || bounds.Window <= 0 {
		p.stats.Invalid++
		return nil, Grant{}, &Denial{Unavailable: true, RetryAfter: unavailableRetryAfter}, out
	}
	k := p.keys[key]
	if k != nil && k.limit.Version > limit.Version {
		limit = k.limit
	}
	if limit.unlimited() {
		if k != nil {
			k.lift(limit)
		}
		return nil, Grant{}, nil, out
	}
	if k == nil {
		if k = p.addKey(now, key); k == nil {
			p.stats.Unavailable++
			return nil, Grant{}, &Denial{Unavailable: true, RetryAfter: unavailableRetryAfter}, out
		}
	}
	k.setLimit(limit)
	k.demand.add(now)
	p.advance(now, k, &out)
	if grant, ok := p.take(now, k); ok {
		p.stats.Granted++
		return nil, grant, nil, out
	}
	if now < k.deniedUntil {
		p.stats.Exhausted++
		return nil, Grant{}, &Denial{RetryAfter: k.nextRetryAfter(now)}, out
	}
	w := &waiter{key: k, result: make(chan result, 1), startedAt: now, deadline: now + waitLimit}
	k.waiters = append(k.waiters, w)
	p.advance(now, k, &out)
	return w, Grant{}, nil, out
}

// wait waits for the result of a waiter.
func (p *Pool) wait(ctx context.Context, w *waiter) (Grant, *Denial) {
	left := waitLimit
	for {
		timer := time.NewTimer(left)
		select {
		case r := <-w.result:
			timer.Stop()
			return r.grant, r.denial
		case <-ctx.Done():
			timer.Stop()
			return p.abandon(w, true)
		case <-timer.C:
		}
		if left = p.waitLeft(w); left <= 0 {
			return p.abandon(w, false)
		}
	}
}

// waitLeft returns the time until the deadline of a waiter, which a change of the owner postpones.
func (p *Pool) waitLeft(w *waiter) time.Duration {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.deadline - now
}

// abandon ends a wait. If a result came at the same moment, it counts, except that the credit of a request whose context has
// ended goes back.
func (p *Pool) abandon(w *waiter, ended bool) (Grant, *Denial) {
	p.mu.Lock()
	waiting := w.key.remove(w)
	if waiting {
		p.stats.Unavailable++
	}
	p.mu.Unlock()
	if waiting {
		return Grant{}, &Denial{Unavailable: true, RetryAfter: unavailableRetryAfter}
	}
	r := <-w.result
	if ended && r.denial == nil {
		p.Return(r.grant)
		return Grant{}, &Denial{Unavailable: true, RetryAfter: unavailableRetryAfter}
	}
	return r.grant, r.denial
}

// Return gives back the credit of a request that provably did not run. It implements Source.
func (p *Pool) Return(grant Grant) {
	now := p.config.Now()
	var out outbox
	p.mu.Lock()
	if b := p.grants[grant.ID]; b != nil {
		delete(p.grants, grant.ID)
		if k := p.keys[b.ask.Key]; k != nil && b.open(now) {
			b.stock++
			p.stats.Returned++
			p.advance(now, k, &out)
		}
	}
	p.mu.Unlock()
	p.deliver(out)
}

// HandleAnswer takes in the owner's answer to an ask. Answers to unknown asks and repeated answers have no effect.
func (p *Pool) HandleAnswer(a Answer) {
	now := p.config.Now()
	var out outbox
	p.mu.Lock()
	if b := p.batches[a.Number]; b != nil && !b.answered {
		p.answered(now, b, a, &out)
	}
	p.mu.Unlock()
	p.deliver(out)
}

// OwnerChanged sends the asks in flight to the new owner, under new numbers. Requests that wait get further time.
func (p *Pool) OwnerChanged() {
	now := p.config.Now()
	var out outbox
	p.mu.Lock()
	for _, k := range p.keys {
		if len(k.waiters) == 0 {
			continue
		}
		k.inFlight, k.nextAskAt = nil, now
		k.extendWaits(now)
		p.advance(now, k, &out)
	}
	p.mu.Unlock()
	p.deliver(out)
}

// Stats returns the counts of the pool.
func (p *Pool) Stats() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Keys = len(p.keys)
	return stats
}

// addKey returns a new state for a key, or nil if there are too many keys in use.
func (p *Pool) addKey(now time.Duration, key Key) *keyState {
	if len(p.keys) >= p.pruneAt {
		p.prune(now)
	}
	if len(p.keys) >= maxPoolKeys {
		return nil
	}
	k := &keyState{key: key}
	p.keys[key] = k
	return k
}

// prune drops idle keys. The next time is when the number of keys has doubled, or has grown by a part if it is near the bound.
func (p *Pool) prune(now time.Duration) {
	for key, k := range p.keys {
		p.dropExpired(now, k)
		if k.idle(now) {
			k.stopTimer()
			delete(p.keys, key)
		}
	}
	p.pruneAt = min(max(2*len(p.keys), minPruneKeys), len(p.keys)+maxPoolKeys/16)
}

// outbox holds the datagrams to send once the lock is released, as the functions that send them may call the pool.
type outbox struct {
	asks    []Ask
	refunds []Refund
}

// deliver sends datagrams. It is called without the lock.
func (p *Pool) deliver(out outbox) {
	for _, r := range out.refunds {
		p.config.Refund(r)
	}
	for _, a := range out.asks {
		if !p.config.Send(a) {
			p.unsent(a.Number)
		}
	}
}

// unsent handles an ask for which no owner was known. It is sent again, under a new number, when an owner is known or after a
// moment.
func (p *Pool) unsent(number uint32) {
	now := p.config.Now()
	var out outbox
	p.mu.Lock()
	if b := p.batches[number]; b != nil && !b.answered {
		p.giveUp(now, b, &out)
	}
	p.mu.Unlock()
	p.deliver(out)
}
