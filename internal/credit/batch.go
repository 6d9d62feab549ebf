package credit

import "time"

// refundShare is the part of a credit's lifetime after which it is refunded if it is unspent. The rest covers the way to the
// owner, and lets another instance spend it in the same window.
const refundShare = 0.75

// returnShare is the part of a credit's lifetime until which it can go back to the stock such that it is refunded with the others of
// its batch.
const returnShare = 0.65

// batch is an ask and the credits of its answer.
type batch struct {
	ask Ask
	// sentAt is the time at which the ask was first sent. The credits expire at expiresAt.
	sentAt, expiresAt  time.Duration
	repeated, answered bool
	// closed is true once the unspent credits were refunded. An ask has at most one refund, so that a refund that arrives twice
	// is recognized.
	closed bool
	// stock is the number of credits to hand out.
	stock uint16
	// grants lists the ids of the credits that were handed out.
	grants []uint64
}

// refundAt is the time at which unspent credits are refunded.
func (b *batch) refundAt() time.Duration { return b.after(refundShare) }

// returnBy is the time until which credits can go back to the stock.
func (b *batch) returnBy() time.Duration { return b.after(returnShare) }

// after returns the time at which a share of the lifetime of the credits has passed.
func (b *batch) after(share float64) time.Duration {
	return b.sentAt + time.Duration(share*float64(b.expiresAt-b.sentAt))
}

// open reports whether credits can be taken from the batch or put back.
func (b *batch) open(now time.Duration) bool { return b.answered && !b.closed && now < b.expiresAt }

// refund closes the batch and returns the refund of its unspent credits.
func (b *batch) refund() Refund {
	r := Refund{Number: b.ask.Number, Key: b.ask.Key, Count: b.stock}
	b.closed, b.stock = true, 0
	return r
}
