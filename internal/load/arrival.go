package load

import (
	"math/rand/v2"
	"time"
)

// schedule yields due times as offsets from the start. It is not safe for concurrent use.
type schedule struct {
	arrival    Arrival
	meanGap    float64
	random     *rand.Rand
	poissonDue float64
	index      int
}

func newSchedule(arrival Arrival, rate float64, random *rand.Rand) *schedule {
	return &schedule{arrival: arrival, meanGap: float64(time.Second) / rate, random: random}
}

// due returns the next due time.
func (s *schedule) nextDue() time.Duration {
	if s.arrival == Poisson {
		s.poissonDue += s.meanGap * s.random.ExpFloat64()
		return time.Duration(s.poissonDue)
	}
	// Multiplying keeps rounding errors from adding up.
	due := time.Duration(float64(s.index) * s.meanGap)
	s.index++
	return due
}
