package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// cell is what an instance knows about one target. It outlives rebuilds of the policy. Choices read it without
// a lock; mu orders the writers of smoothed values.
type cell struct {
	// own is the number of requests in flight from this instance.
	own atomic.Int64
	// starts is the sum of the start times of the requests in flight. Sums may wrap around; differences hold.
	starts atomic.Int64

	// reportAt is when the last load report arrived, 0 for never.
	reportAt atomic.Int64
	// reportBase is the reported load less own at that time, so that adding own corrects the report by what
	// this instance has sent since.
	reportBase atomic.Int64
	// reportUses counts the choices that the report has decided.
	reportUses atomic.Int64

	// latency is the smoothed latency of answers in nanoseconds, 0 for none.
	latency atomic.Int64
	// latencyAt is when latency last changed.
	latencyAt atomic.Int64
	// refusals is the smoothed share of results that were no answers, as float bits.
	refusals atomic.Uint64
	// refusalAt is when refusals last changed.
	refusalAt atomic.Int64
	// heardAt is when this instance last learnt anything about the target's load or asked for it.
	heardAt atomic.Int64

	// phase follows charts/ejection.toml. It changes while mu is held.
	phase chart.Cursor
	// rampFrom is when a warming or readmitted target began to receive requests.
	rampFrom atomic.Int64
	// ejectedUntil is when an ejected target is readmitted.
	ejectedUntil atomic.Int64

	mu sync.Mutex
	// failuresInRow and ejections are guarded by mu.
	failuresInRow int
	ejections     int
}

const (
	// latencyHalfLife is the age at which a smoothed latency has lost half of its weight against a new one.
	latencyHalfLife = 10 * time.Millisecond
	// refusalHalfLife is how fast refusals are forgotten without new evidence.
	refusalHalfLife = 500 * time.Millisecond
	// refusalWeight is the weight of one result in the share of refusals.
	refusalWeight = 0.25
)

// report stores a load report.
func (c *cell) report(load int, now time.Duration) {
	c.reportBase.Store(int64(load) - c.own.Load())
	c.reportUses.Store(0)
	c.reportAt.Store(int64(now))
	c.heardAt.Store(int64(now))
}

// learnLatency smooths the latency of an answer. The older the last value, the less it counts.
func (c *cell) learnLatency(latency, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.latency.Load()
	weight := 1.0
	if old != 0 {
		age := time.Duration(int64(now) - c.latencyAt.Load())
		weight = 1 - math.Exp2(-float64(age)/float64(latencyHalfLife))
		weight = max(weight, refusalWeight)
	}
	c.latency.Store(old + int64(weight*float64(int64(latency)-old)))
	c.latencyAt.Store(int64(now))
}

// learnRefusal smooths the share of results that were no answers.
func (c *cell) learnRefusal(refused bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := c.refusalShare(now) * (1 - refusalWeight)
	if refused {
		value += refusalWeight
	}
	c.refusals.Store(math.Float64bits(value))
	c.refusalAt.Store(int64(now))
}

func (c *cell) refusalShare(now time.Duration) float64 {
	value := math.Float64frombits(c.refusals.Load())
	if value == 0 {
		return 0
	}
	age := time.Duration(int64(now) - c.refusalAt.Load())
	return value * math.Exp2(-float64(age)/float64(refusalHalfLife))
}

// outstanding returns the summed age of the requests in flight from this instance.
func (c *cell) outstanding(now time.Duration) time.Duration {
	return max(0, time.Duration(c.own.Load()*int64(now)-c.starts.Load()))
}
