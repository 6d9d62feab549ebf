package logservice

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays with jitter between attempts. It is not safe for concurrent use.
type Backoff struct {
	// Base is the first step, and Max is the largest.
	Base     time.Duration
	Max      time.Duration
	nextStep time.Duration
}

// Next returns a random delay between half of the current step and the full step, and doubles the step up to Max.
// The jitter prevents all instances from reconnecting at the same time after an outage.
func (b *Backoff) Next(random *rand.Rand) time.Duration {
	if b.nextStep < b.Base {
		b.nextStep = b.Base
	}
	step := b.nextStep
	b.nextStep = min(2*step, b.Max)
	half := step / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

// Reset makes the next step Base again.
func (b *Backoff) Reset() { b.nextStep = 0 }
