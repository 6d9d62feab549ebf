package credit

import (
	"sync"
	"time"
)

const (
	// maxBuckets is the number of limits of which a ledger keeps a bucket. Asks for further ones are refused once no bucket is
	// as full as a new one.
	maxBuckets = 16384
	// maxRememberedAsks is the number of asks that a ledger recognizes if they are repeated. Beyond it the oldest are forgotten:
	// their repetition is debited again and their refund is ignored, which wastes credit but grants none.
	maxRememberedAsks = 32768
	// rememberedFor is longer than asks are repeated and credits are refunded.
	rememberedFor = 2 * maxLifetime
	// maxRetryAfter bounds the wait that is announced to askers of limits with a very low rate.
	maxRetryAfter = time.Minute
	// dropInterval bounds the work of looking for buckets to drop while all are in use.
	dropInterval = 100 * time.Millisecond
	// maxPromise bounds the wait that is announced because of other refused askers, as many of them never come back.
	maxPromise = 5 * time.Second
)

// Ledger is the owner's record of all limits. It is safe for concurrent use.
type Ledger struct {
	bounds map[Kind]Bounds

	mu sync.Mutex
	// begun is true once this instance has owned the ledger. beganAt is the start of the present ownership, and sincePrevious the
	// time between it and the former one, or negative if there was none.
	begun                  bool
	beganAt, sincePrevious time.Duration
	buckets                map[Key]*bucket
	// sequence counts the debits.
	sequence uint64
	asks     askMemory
	// droppedAt is the time at which the ledger last looked for buckets to drop.
	droppedAt time.Duration
	stats     LedgerStats
}

// LedgerStats counts credits since the start of the process, but for Buckets, which is the present number of buckets.
type LedgerStats struct {
	Granted, Denied, Refunded uint64
	// Repeated counts asks that were answered again, and Rejected those for an unknown kind, an invalid limit, or beyond the
	// largest number of buckets.
	Repeated, Rejected uint64
	Buckets            int
}

// NewLedger returns a ledger that grants nothing until Begin is called.
func NewLedger(bounds map[Kind]Bounds) *Ledger {
	return &Ledger{bounds: bounds, buckets: map[Key]*bucket{}, asks: newAskMemory()}
}

// Begin starts a new ownership, in which all buckets start anew and asks of the former one are forgotten. sincePrevious is the
// time since the start of the previous ownership, of whichever instance. It must not be overstated: it is 0 if there may have
// been one at an unknown time, and negative only if there was none within the longest window. The sooner ownerships follow each
// other, the less credit the buckets start with.
func (l *Ledger) Begin(now, sincePrevious time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun, l.beganAt, l.sincePrevious = true, now, sincePrevious
	l.asks = newAskMemory()
	for key, b := range l.buckets {
		l.buckets[key] = l.newBucket(now, l.bounds[key.Kind], b.limit)
	}
}

// newBucket returns a bucket as full as one is that was not used since the ownership began.
func (l *Ledger) newBucket(now time.Duration, bounds Bounds, limit Limit) *bucket {
	b := &bucket{filledAt: l.beganAt}
	b.resize(limit, bounds.shape(limit), l.sequence+1)
	b.level = bounds.startLevel(limit, l.sincePrevious)
	b.fill(now)
	return b
}

// Learn tells the ledger a limit that is in force, such as that of the owner's own configuration. It has no effect if a newer
// version is known, or if nobody has asked for credits of the limit.
func (l *Ledger) Learn(now time.Duration, key Key, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[key]; b != nil && limit.valid() {
		b.fill(now)
		l.adopt(now, b, l.bounds[key.Kind], limit)
	}
}

// adopt makes a bucket use a limit if it is newer than the bucket's. Of two limits with one version the lower one counts.
func (l *Ledger) adopt(now time.Duration, b *bucket, bounds Bounds, limit Limit) {
	if limit == b.limit || limit.Version < b.limit.Version {
		return
	}
	if limit.Version == b.limit.Version {
		limit = stricter(limit, b.limit)
	}
	if b.limit.unlimited() {
		*b = *l.newBucket(now, bounds, limit)
		return
	}
	if limit != b.limit {
		b.resize(limit, bounds.shape(limit), l.sequence+1)
	}
}

// stricter returns the lower rate and the lower burst of two limits.
func stricter(a, b Limit) Limit {
	if a.unlimited() {
		return b
	}
	if b.unlimited() {
		return a
	}
	a.Rate, a.Burst = min(a.Rate, b.Rate), min(a.Burst, b.Burst)
	return a
}

// Grant answers an ask. A repeated ask of one sender gets the same answer without a further debit.
func (l *Ledger) Grant(now time.Duration, from string, ask Ask) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.begun {
		return Answer{Number: ask.Number, NotOwner: true}
	}
	l.asks.forgetBefore(now - rememberedFor)
	id := askID{from: from, number: ask.Number, key: ask.Key}
	if known, ok := l.asks.find(id); ok {
		l.stats.Repeated++
		return known.answer
	}
	b := l.bucketFor(now, ask)
	if b == nil {
		l.stats.Rejected++
		return Answer{Number: ask.Number, RetryAfterMS: uint32(maxPromise.Milliseconds())}
	}
	answer := l.debit(now, b, ask)
	l.asks.add(id, rememberedAsk{at: now, sequence: l.sequence, answer: answer})
	return answer
}

// debit takes the credits of an ask from its bucket.
func (l *Ledger) debit(now time.Duration, b *bucket, ask Ask) Answer {
	l.sequence++
	answer := Answer{Number: ask.Number, Granted: ask.Count}
	if !b.limit.unlimited() {
		answer.Granted = b.debit(l.sequence, ask.Count)
	}
	missing := ask.Count - answer.Granted
	if missing > 0 {
		answer.RetryAfterMS = milliseconds(b.retryAfter(now, missing))
	}
	l.stats.Granted += uint64(answer.Granted)
	l.stats.Denied += uint64(missing)
	return answer
}

// milliseconds rounds up, so that a wait is never announced as none.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// bucketFor returns the filled bucket of an ask, or nil if there can be none.
func (l *Ledger) bucketFor(now time.Duration, ask Ask) *bucket {
	bounds, ok := l.bounds[ask.Key.Kind]
	if !ok || bounds.Window <= 0 || !ask.Limit.valid() {
		return nil
	}
	b := l.buckets[ask.Key]
	if b == nil {
		if len(l.buckets) >= maxBuckets && !l.dropUnused(now) {
			return nil
		}
		b = l.newBucket(now, bounds, ask.Limit)
		l.buckets[ask.Key] = b
		return b
	}
	b.fill(now)
	l.adopt(now, b, bounds, ask.Limit)
	return b
}

// dropUnused drops the buckets that are as full as new ones, and reports whether there is room for a further one.
func (l *Ledger) dropUnused(now time.Duration) bool {
	if l.droppedAt > 0 && now < l.droppedAt+dropInterval {
		return false
	}
	l.droppedAt = now
	for key, b := range l.buckets {
		b.fill(now)
		if b.level >= l.newBucket(now, l.bounds[key.Kind], b.limit).level {
			delete(l.buckets, key)
		}
	}
	return len(l.buckets) < maxBuckets
}

// Refund puts credits of an answered ask back. Only the first refund of an ask that the ledger remembers counts, and at most what
// was granted.
func (l *Ledger) Refund(now time.Duration, from string, r Refund) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks.forgetBefore(now - rememberedFor)
	ask, ok := l.asks.refundOnce(askID{from: from, number: r.Number, key: r.Key})
	b := l.buckets[r.Key]
	if !ok || b == nil || b.limit.unlimited() {
		return
	}
	count := min(r.Count, ask.answer.Granted)
	b.fill(now)
	b.refund(ask.sequence, float64(count))
	l.stats.Refunded += uint64(count)
}

// Stats returns the counts of the ledger.
func (l *Ledger) Stats() LedgerStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Buckets = len(l.buckets)
	return stats
}
