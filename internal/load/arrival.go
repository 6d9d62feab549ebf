package load

import (
	"math/rand/v2"
	"time"
)

// schedule computes the times at which requests are due. It is not safe for concurrent use.
type schedule struct {
	arrival    Arrival
	meanGap    float64 // in nanoseconds
	random     *rand.Rand
	poissonDue float64 // latest due time of a Poisson schedule, in nanoseconds
	index      int     // number of the next request of a Fixed schedule
}

// newSchedule returns a schedule with a rate in requests per second.
func newSchedule(arrival Arrival, rate float64, random *rand.Rand) *schedule {
	return &schedule{arrival: arrival, meanGap: float64(time.Second) / rate, random: random}
}

// nextDue returns the due time of the next request as an offset from the start of the run.
func (s *schedule) nextDue() time.Duration {
	if s.arrival == Poisson {
		s.poissonDue += s.meanGap * s.random.ExpFloat64()
		return time.Duration(s.poissonDue)
	}
	// Multiplication avoids the rounding errors that a sum of gaps would accumulate.
	due := time.Duration(float64(s.index) * s.meanGap)
	s.index++
	return due
}
