package load

import (
	"math/rand/v2"
	"time"
)

// schedule yields due times as offsets from the start. It is not safe for concurrent use.
type schedule struct {
	arrival Arrival
	gap     float64
	random  *rand.Rand
	next    float64
	index   int
}

func newSchedule(arrival Arrival, rate float64, random *rand.Rand) *schedule {
	return &schedule{arrival: arrival, gap: float64(time.Second) / rate, random: random}
}

// due returns the next due time.
func (s *schedule) due() time.Duration {
	if s.arrival == Poisson {
		s.next += s.gap * s.random.ExpFloat64()
		return time.Duration(s.next)
	}
	// Multiplying keeps rounding errors from adding up.
	due := time.Duration(float64(s.index) * s.gap)
	s.index++
	return due
}
