package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// targetState is what this instance knows about one target. It is carried over when the policy is rebuilt. Pick reads
// it without a lock; mu serializes updates of the averages and of the phase. Times are nanoseconds since the start of
// the process.
type targetState struct {
	// inFlight is the number of requests in flight from this instance.
	inFlight atomic.Int64
	// startTimeSum is the sum of the start times of the requests in flight. It may wrap around; differences of sums
	// remain correct.
	startTimeSum atomic.Int64

	// reportedAt is when the last load report arrived, or 0 if none has arrived yet.
	reportedAt atomic.Int64
	// reportOffset is the reported load minus inFlight at the time of the report. Adding the current inFlight
	// accounts for the requests that this instance has sent or finished since.
	reportOffset atomic.Int64
	// reportUses counts the picks of this target since the last load report.
	reportUses atomic.Int64

	// latency is the EWMA of the latency of answers in nanoseconds, or 0 before the first answer.
	latency atomic.Int64
	// latencyUpdatedAt is when latency was last updated.
	latencyUpdatedAt atomic.Int64
	// failureRateBits is the EWMA of the share of shed and failed requests, as the bits of a float64.
	failureRateBits atomic.Uint64
	// failureRateUpdatedAt is when failureRateBits was last updated.
	failureRateUpdatedAt atomic.Int64
	// loadRefreshedAt is when the last load report arrived or the last load probe was chosen, whichever is later.
	loadRefreshedAt atomic.Int64

	// phase is the state in the chart charts/ejection.toml of package chart. It changes only while mu is held.
	phase chart.TableMachine
	// rampStart is when a warming or readmitted target began to receive requests.
	rampStart atomic.Int64
	// ejectedUntil is when an ejected target may be readmitted.
	ejectedUntil atomic.Int64

	mu sync.Mutex
	// consecutiveFailures is the number of shed and failed requests since the last answer. Guarded by mu.
	consecutiveFailures int
	// ejections is the number of ejections since the target last served normally. Guarded by mu.
	ejections int
}

const (
	// latencyHalfLife is the age at which the average latency has lost half of its weight against a new value.
	latencyHalfLife = 10 * time.Millisecond
	// failureRateHalfLife is the time in which the failure rate halves while there are no new results.
	failureRateHalfLife = 500 * time.Millisecond
	// sampleWeight is the weight of one result in the failure rate, and the least weight of one answer in the
	// average latency.
	sampleWeight = 0.25
)

// updateLoad stores a load report, the number of requests in flight at the target.
func (s *targetState) updateLoad(load int, now time.Duration) {
	s.reportOffset.Store(int64(load) - s.inFlight.Load())
	s.reportUses.Store(0)
	s.reportedAt.Store(int64(now))
	s.loadRefreshedAt.Store(int64(now))
}

// updateLatency adds the latency of an answer to the average. The older the average, the less it counts.
func (s *targetState) updateLatency(latency, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.latency.Load()
	weight := 1.0
	if old != 0 {
		age := time.Duration(int64(now) - s.latencyUpdatedAt.Load())
		weight = 1 - math.Exp2(-float64(age)/float64(latencyHalfLife))
		weight = max(weight, sampleWeight)
	}
	s.latency.Store(old + int64(weight*float64(int64(latency)-old)))
	s.latencyUpdatedAt.Store(int64(now))
}

// updateFailureRate adds a result to the failure rate.
func (s *targetState) updateFailureRate(failed bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.failureRate(now) * (1 - sampleWeight)
	if failed {
		value += sampleWeight
	}
	s.failureRateBits.Store(math.Float64bits(value))
	s.failureRateUpdatedAt.Store(int64(now))
}

// failureRate returns the failure rate, from 0 to 1, decayed by the time since the last result.
func (s *targetState) failureRate(now time.Duration) float64 {
	value := math.Float64frombits(s.failureRateBits.Load())
	if value == 0 {
		return 0
	}
	age := time.Duration(int64(now) - s.failureRateUpdatedAt.Load())
	return value * math.Exp2(-float64(age)/float64(failureRateHalfLife))
}

// totalInFlightAge returns the sum of the ages of the requests in flight from this instance.
func (s *targetState) totalInFlightAge(now time.Duration) time.Duration {
	return max(0, time.Duration(s.inFlight.Load()*int64(now)-s.startTimeSum.Load()))
}
