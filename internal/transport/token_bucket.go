package transport

import "time"

// tokenBucket holds at most openBurst tokens and gains one every openInterval. It is not safe for concurrent use.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// take takes a token. It reports false if there is none.
func (b *tokenBucket) take(now time.Time) bool {
	gained := float64(now.Sub(b.last)) / float64(openInterval)
	b.tokens = min(openBurst, b.tokens+gained)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
