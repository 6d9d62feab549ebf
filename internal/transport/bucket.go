package transport

import "time"

// bucket is a token bucket of openBurst tokens that gains one every openInterval. It is not safe for concurrent use.
type bucket struct {
	tokens float64
	last   time.Time
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	gained := float64(now.Sub(b.last)) / float64(openInterval)
	b.tokens = min(openBurst, b.tokens+gained)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
