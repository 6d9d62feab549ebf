package logservice

import (
	"math/rand/v2"
	"time"
)

// Backoff computes jittered delays between attempts. It is not safe for concurrent use.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	next time.Duration
}

// Next returns a delay between half of the current step and the whole of it, and doubles the step.
// The jitter keeps instances from reconnecting in step after an outage.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	if b.next < b.Base {
		b.next = b.Base
	}
	step := b.next
	b.next = min(2*step, b.Max)
	half := step / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// Reset starts again from the base delay.
func (b *Backoff) Reset() { b.next = 0 }
