package credit

import (
	"slices"
	"time"
)

const (
	// prefetchPeriod is the time for whose expected requests credits are asked in advance. It is well below the time after which
	// unspent credits are refunded.
	prefetchPeriod = 50 * time.Millisecond
	// minPrefetch is the number of requests that must be expected within prefetchPeriod. With fewer, too many credits would come
	// back unspent.
	minPrefetch = 2
	// denialMemory is the time after a refusal within which a part of a credit is carried over from one prefetch to the next, so
	// that a limit in great demand is used up.
	denialMemory = time.Second
)

// result is the outcome of a wait.
type result struct {
	grant  Grant
	denial *Denial
}

// waiter is a request that waits for the owner's answer.
type waiter struct {
	key *keyState
	// result receives one value.
	result              chan result
	startedAt, deadline time.Duration
}

// keyState is what a pool knows of one key.
type keyState struct {
	key    Key
	limit  Limit
	demand demand
	// waiters are in order of arrival.
	waiters []*waiter
	// inFlight is the ask that the waiters wait for.
	inFlight *batch
	// batches are those whose credits have not expired, oldest first.
	batches []*batch
	// nextAskAt is the earliest time of the next ask.
	nextAskAt time.Duration
	// deniedUntil is the time until which requests are refused without an ask. The owner announced credit for retryAt, and
	// localDenials requests were told a time since.
	deniedUntil, deniedAt, retryAt time.Duration
	localDenials                   int
	everDenied                     bool
	// carry is the part of a credit that the last prefetch left.
	carry float64
	timer *time.Timer
	// wakeAt is the time for which the timer is set.
	wakeAt time.Duration
}

// advance does what is due for a key and sets the timer for what comes next. It is called with the lock held, after each event.
func (p *Pool) advance(now time.Duration, k *keyState, out *outbox) {
	p.dropExpired(now, k)
	p.serve(now, k)
	p.refundUnspent(now, k, out)
	p.watchAsk(now, k, out)
	if k.inFlight == nil && now >= k.nextAskAt && k.waitsAfter(now) {
		p.ask(now, k, out)
	}
	p.setTimer(now, k)
}

// dropExpired forgets the batches whose credits have expired.
func (p *Pool) dropExpired(now time.Duration, k *keyState) {
	for len(k.batches) > 0 && now >= k.batches[0].expiresAt {
		b := k.batches[0]
		k.batches = k.batches[1:]
		p.stats.Expired += uint64(b.stock)
		b.stock = 0
		p.forget(b)
	}
}

// forget drops what the pool holds of a batch.
func (p *Pool) forget(b *batch) {
	delete(p.batches, b.ask.Number)
	for _, id := range b.grants {
		delete(p.grants, id)
	}
}

// serve hands credits in stock to the waiters.
func (p *Pool) serve(now time.Duration, k *keyState) {
	for len(k.waiters) > 0 {
		grant, ok := p.take(now, k)
		if !ok {
			return
		}
		p.stats.Granted++
		k.waiters[0].result <- result{grant: grant}
		k.waiters = k.waiters[1:]
	}
}

// take takes a credit from the stock, from the one that expires first.
func (p *Pool) take(now time.Duration, k *keyState) (Grant, bool) {
	for _, b := range k.batches {
		if b.stock == 0 || !b.open(now) {
			continue
		}
		b.stock--
		p.lastGrant++
		p.grants[p.lastGrant] = b
		b.grants = append(b.grants, p.lastGrant)
		return Grant{Key: k.key, ExpiresAt: b.expiresAt, ReturnBy: b.returnBy(), ID: p.lastGrant}, true
	}
	return Grant{}, false
}

// refundUnspent refunds credits that lie in stock for too long.
func (p *Pool) refundUnspent(now time.Duration, k *keyState, out *outbox) {
	for _, b := range k.batches {
		if b.stock > 0 && now >= b.refundAt() {
			p.stats.Refunded += uint64(b.stock)
			out.refunds = append(out.refunds, b.refund())
		}
	}
}

// watchAsk repeats the ask in flight once, and gives it up after waitLimit. An answer that comes later still counts while its
// credits are valid.
func (p *Pool) watchAsk(now time.Duration, k *keyState, out *outbox) {
	b := k.inFlight
	switch {
	case b == nil:
	case now >= b.sentAt+waitLimit:
		p.stats.Unanswered++
		k.inFlight = nil
	case now >= b.sentAt+repeatAfter && !b.repeated && len(k.waiters) > 0:
		b.repeated = true
		p.stats.Repeats++
		out.asks = append(out.asks, b.ask)
	}
}

// ask asks for credits for the waiters, and in advance for requests that are expected soon.
func (p *Pool) ask(now time.Duration, k *keyState, out *outbox) {
	p.lastNumber++
	count := min(len(k.waiters)+k.prefetch(now), maxAskCount)
	b := &batch{ask: Ask{Number: p.lastNumber, Key: k.key, Limit: k.limit, Count: uint16(count)}, sentAt: now}
	b.expiresAt = now + p.config.Bounds[k.key.Kind].Lifetime(k.limit)
	p.batches[b.ask.Number] = b
	k.batches = append(k.batches, b)
	k.inFlight, k.nextAskAt = b, now+askInterval
	p.stats.Asks++
	out.asks = append(out.asks, b.ask)
}

// prefetch returns the number of credits to ask for in advance.
func (k *keyState) prefetch(now time.Duration) int {
	expected := k.demand.expected(now, prefetchPeriod)
	if k.everDenied && now < k.deniedAt+denialMemory {
		expected += k.carry
		k.carry = expected - float64(int(expected))
		return int(min(expected, maxAskCount))
	}
	if expected < minPrefetch {
		return 0
	}
	return int(min(expected, maxAskCount))
}

// answered takes in the first answer to an ask.
func (p *Pool) answered(now time.Duration, b *batch, a Answer, out *outbox) {
	if a.NotOwner {
		p.giveUp(now, b, out)
		return
	}
	k := p.keys[b.ask.Key]
	b.answered = true
	granted := min(a.Granted, b.ask.Count)
	b.stock = granted
	current := k.inFlight == b
	if current {
		k.inFlight = nil
	}
	p.dropExpired(now, k)
	p.serve(now, k)
	if current && granted < b.ask.Count {
		p.deny(now, k, a)
	}
	p.advance(now, k, out)
}

// deny refuses the requests that wait, as the limit is used up.
func (p *Pool) deny(now time.Duration, k *keyState, a Answer) {
	retryAfter := max(time.Duration(a.RetryAfterMS)*time.Millisecond, time.Millisecond)
	k.everDenied, k.deniedAt, k.retryAt, k.localDenials = true, now, now+retryAfter, 0
	k.deniedUntil = now + min(retryAfter, maxLocalDenial)
	for _, w := range k.waiters {
		p.stats.Exhausted++
		w.result <- result{denial: &Denial{RetryAfter: k.nextRetryAfter(now)}}
	}
	k.waiters = nil
}

// nextRetryAfter returns the wait to announce to the next refused request. Each is told the time of a further credit, so that
// refused callers do not return together.
func (k *keyState) nextRetryAfter(now time.Duration) time.Duration {
	behind := min(float64(k.localDenials)/k.limit.Rate, maxPromise.Seconds())
	k.localDenials++
	wait := max(k.retryAt-now, 0) + time.Duration(behind*float64(time.Second))
	return min(max(wait, time.Millisecond), maxRetryAfter)
}

// giveUp drops an ask that no owner received. The next one follows after repeatAfter, or when the owner changes.
func (p *Pool) giveUp(now time.Duration, b *batch, out *outbox) {
	k := p.keys[b.ask.Key]
	p.forget(b)
	k.batches = slices.DeleteFunc(k.batches, func(other *batch) bool { return other == b })
	if k.inFlight == b {
		k.inFlight = nil
		k.nextAskAt = now + repeatAfter
	}
	p.advance(now, k, out)
}

// waitsAfter reports whether a request waits that is not about to give up. The last waiter has the latest deadline.
func (k *keyState) waitsAfter(now time.Duration) bool {
	return len(k.waiters) > 0 && k.waiters[len(k.waiters)-1].deadline > now
}

// remove removes a waiter and reports whether it still waited.
func (k *keyState) remove(w *waiter) bool {
	i := slices.Index(k.waiters, w)
	if i < 0 {
		return false
	}
	k.waiters = slices.Delete(k.waiters, i, i+1)
	return true
}

// extendWaits gives the waiters time for the answer of a new owner, up to twice waitLimit in all.
func (k *keyState) extendWaits(now time.Duration) {
	for _, w := range k.waiters {
		w.deadline = min(now+waitLimit, w.startedAt+2*waitLimit)
	}
}

// setLimit sets the limit. A refusal under another limit says nothing about this one.
func (k *keyState) setLimit(limit Limit) {
	if limit != k.limit {
		k.limit, k.deniedUntil = limit, 0
	}
}

// lift ends the limit. Requests that wait need no credit any more.
func (k *keyState) lift(limit Limit) {
	k.setLimit(limit)
	for _, w := range k.waiters {
		w.result <- result{}
	}
	k.waiters = nil
}

// idle reports whether nothing would be lost with the state of the key.
func (k *keyState) idle(now time.Duration) bool {
	return len(k.batches) == 0 && len(k.waiters) == 0 && k.inFlight == nil && now >= k.deniedUntil
}

// setTimer sets the timer for the next time at which something is due.
func (p *Pool) setTimer(now time.Duration, k *keyState) {
	wakeAt, ok := k.nextWake(now)
	if !ok {
		k.stopTimer()
		return
	}
	if k.timer != nil && k.wakeAt == wakeAt {
		return
	}
	k.stopTimer()
	k.wakeAt = wakeAt
	k.timer = time.AfterFunc(wakeAt-now, func() { p.wake(k) })
}

func (k *keyState) stopTimer() {
	if k.timer != nil {
		k.timer.Stop()
		k.timer = nil
	}
}

// wake runs when the timer of a key fires.
func (p *Pool) wake(k *keyState) {
	now := p.config.Now()
	var out outbox
	p.mu.Lock()
	if p.keys[k.key] == k {
		k.timer = nil
		p.advance(now, k, &out)
	}
	p.mu.Unlock()
	p.deliver(out)
}

// nextWake returns the next time at which something is due, or false if nothing is.
func (k *keyState) nextWake(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	due := func(at time.Duration) {
		if !found || at < next {
			next, found = at, true
		}
	}
	if len(k.batches) > 0 {
		due(k.batches[0].expiresAt)
	}
	for _, b := range k.batches {
		if b.stock > 0 {
			due(b.refundAt())
		}
	}
	switch {
	case k.inFlight == nil && k.waitsAfter(now):
		due(k.nextAskAt)
	case k.inFlight != nil && !k.inFlight.repeated && len(k.waiters) > 0:
		due(k.inFlight.sentAt + repeatAfter)
	case k.inFlight != nil:
		due(k.inFlight.sentAt + waitLimit)
	}
	return next, found
}
