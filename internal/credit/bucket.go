package credit

import (
	"math"
	"time"
)

// headroomSteps is the resolution of a bucket's record of its headroom, and bounds the length of the record.
const headroomSteps = 64

// bucket is the token bucket of one limit.
type bucket struct {
	limit Limit
	shape shape
	level float64
	// filledAt is the time up to which the level has been computed.
	filledAt time.Duration
	// promisedUntil is the time at which the credits that were announced to refused askers have accrued.
	promisedUntil time.Duration
	// headroom records how far the bucket was from full before each debit, oldest first. Both fields increase. It tells how much
	// of a refunded credit the bucket would hold if the credit had never been debited.
	headroom []headroomMark
}

// headroomMark says that the bucket lacked amount credits to be full right before the debit with the sequence number.
type headroomMark struct {
	sequence uint64
	amount   float64
}

// fill adds the credits that have accrued since the last call.
func (b *bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.level+b.shape.rate*(now-b.filledAt).Seconds(), b.shape.capacity)
	b.filledAt = now
}

// debit takes up to count whole credits.
func (b *bucket) debit(sequence uint64, count uint16) uint16 {
	b.mark(sequence, b.shape.capacity-b.level)
	granted := uint16(math.Floor(min(b.level, float64(count))))
	b.level -= float64(granted)
	return granted
}

// mark records the headroom before a debit. Earlier marks that are not smaller no longer matter.
func (b *bucket) mark(sequence uint64, amount float64) {
	for n := len(b.headroom); n > 0 && b.headroom[n-1].amount >= amount; n-- {
		b.headroom = b.headroom[:n-1]
	}
	last := len(b.headroom) - 1
	if last >= 0 && amount-b.headroom[last].amount < b.shape.capacity/headroomSteps {
		b.headroom[last].sequence = sequence
		return
	}
	b.headroom = append(b.headroom, headroomMark{sequence: sequence, amount: amount})
}

// refund puts back credits of a debit, but not more than the bucket would hold if they had not been debited: what would have
// overflowed since is lost. Otherwise credits that are debited and refunded in turn would carry over beyond the capacity.
func (b *bucket) refund(sequence uint64, count float64) {
	room := b.shape.capacity - b.level
	for _, m := range b.headroom {
		if m.sequence > sequence {
			room = min(room, m.amount)
			break
		}
	}
	back := max(min(count, room), 0)
	b.level += back
	b.lowerHeadroom(sequence, back)
}

// lowerHeadroom corrects the marks after a debit that was refunded.
func (b *bucket) lowerHeadroom(sequence uint64, by float64) {
	marks := b.headroom
	b.headroom = make([]headroomMark, 0, len(marks))
	for _, m := range marks {
		if m.sequence > sequence {
			m.amount -= by
		}
		for n := len(b.headroom); n > 0 && b.headroom[n-1].amount >= m.amount; n-- {
			b.headroom = b.headroom[:n-1]
		}
		b.headroom = append(b.headroom, m)
	}
}

// resize changes the limit. What is saved up beyond the new capacity is dropped. Debits before the change are not refunded.
func (b *bucket) resize(limit Limit, to shape, sequence uint64) {
	b.limit, b.shape = limit, to
	b.level = min(b.level, to.capacity)
	b.promisedUntil = 0
	b.headroom = []headroomMark{{sequence: sequence}}
}

// retryAfter returns the time after which an asker that lacks missing credits may expect one. Askers that are refused one after
// the other are told increasing times, so that each comes back when the bucket has accrued credit for it.
func (b *bucket) retryAfter(now time.Duration, missing uint16) time.Duration {
	if b.shape.rate <= 0 {
		return maxRetryAfter
	}
	next := now + b.accrual(1-b.level)
	told := max(next, min(b.promisedUntil, now+maxPromise))
	b.promisedUntil = told + b.accrual(float64(missing))
	return min(told-now, maxRetryAfter)
}

// accrual returns the time in which the credits accrue.
func (b *bucket) accrual(credits float64) time.Duration {
	seconds := min(max(credits, 0)/b.shape.rate, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
