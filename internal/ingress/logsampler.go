package ingress

import (
	"math/rand/v2"
	"sync/atomic"
)

// logSampler selects one of n answers for the log. It is safe for concurrent use.
type logSampler struct {
	// oneIn is n, 0 to select none.
	oneIn atomic.Int64
	// count counts the answers from a random start on. Many instances that answer fewer than n requests each would otherwise select
	// none at all.
	count atomic.Uint64
}

func newLogSampler(oneIn int, random *rand.Rand) *logSampler {
	s := &logSampler{}
	s.oneIn.Store(int64(oneIn))
	s.count.Store(random.Uint64())
	return s
}

// sample counts an answer and reports whether it is selected.
func (s *logSampler) sample() bool {
	count, oneIn := s.count.Add(1), s.oneIn.Load()
	return oneIn > 0 && count%uint64(oneIn) == 0
}
