// Package budget limits the probes, and their bytes, that may be spent on measuring the load of a service's targets
// (G1 in docs/guarantees.md). Each process has an equal share of the service's budget, which holds in every sliding window.
// Times are passed in and must be monotonic within the process.
package budget

import (
	"math"
	"sync"
	"time"

	"github.com/basillink/basillink/operator"
)

// Window is the length of the sliding window in which the budget holds.
const Window = 10 * time.Second

// ProbeBytes is the number of bytes charged for one load probe: the request and the longest accepted answer.
const ProbeBytes = 400

// maxSpends limits the ring of one allowance to 1 MiB. A larger share is reduced to it, which stays within the budget.
const maxSpends = 1 << 16

// Allowance is the share of one service's budget that one process may spend on measurements of any kind. It is safe for
// concurrent use.
type Allowance struct {
	mu sync.Mutex
	// spends holds the spends of the last window in the order of time, at most maxSpends.
	spends ring
	// probeLimit and byteLimit are the limits per window.
	probeLimit int
	byteLimit  int
	// windowBytes is the sum of the bytes of spends.
	windowBytes int
	// firstWindowEnd is the end of the first window. Nothing may be spent before it, because a predecessor may have spent the
	// whole share just before this process started.
	firstWindowEnd time.Duration
	refused        uint64
}

// New returns the allowance of a process that starts at now. It permits nothing in its first window. At most maxInstances
// processes may share the budget.
func New(measuring operator.Measuring, maxInstances int, now time.Duration) *Allowance {
	a := &Allowance{firstWindowEnd: now + Window}
	a.setLimits(measuring, maxInstances)
	return a
}

// Resize changes the budget. Measurements that were charged to the old budget still count.
func (a *Allowance) Resize(measuring operator.Measuring, maxInstances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLimits(measuring, maxInstances)
}

func (a *Allowance) setLimits(measuring operator.Measuring, maxInstances int) {
	a.probeLimit = min(windowShare(measuring.ProbesPerSecond, maxInstances), maxSpends)
	a.byteLimit = windowShare(measuring.BytesPerSecond, maxInstances)
}

// windowShare returns the share of one of maxInstances processes in a window, rounded down, for a budget per second.
func windowShare(perSecond float64, maxInstances int) int {
	if maxInstances < 1 || !(perSecond > 0) {
		return 0
	}
	total := math.Floor(perSecond * Window.Seconds() / float64(maxInstances))
	return int(min(total, math.MaxInt32))
}

// reserveDivisor sets the reserve that SpendBeyondReserve leaves: the limits divided by it.
const reserveDivisor = 10

// Spend charges one measurement of the given number of bytes. It reports false if the allowance does not permit the
// measurement. Call it before the measurement: the charge is never refunded, so that failed measurements count.
func (a *Allowance) Spend(now time.Duration, bytes int) bool {
	return a.spend(now, bytes, 0)
}

// SpendBeyondReserve is like Spend, but for less urgent measurements. It leaves a reserve of a tenth of the allowance, and
// at least one measurement, to Spend.
func (a *Allowance) SpendBeyondReserve(now time.Duration, bytes int) bool {
	return a.spend(now, bytes, reserveDivisor)
}

// spend charges one measurement unless it would use up the reserve, which is the limits divided by divisor. There is no
// reserve if divisor is 0.
func (a *Allowance) spend(now time.Duration, bytes, divisor int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	reservedProbes, reservedBytes := 0, 0
	if divisor > 0 {
		reservedProbes = max(1, a.probeLimit/divisor)
		reservedBytes = max(bytes, a.byteLimit/divisor)
	}
	if now < a.firstWindowEnd || a.spends.len()+reservedProbes >= a.probeLimit || a.windowBytes+bytes+reservedBytes > a.byteLimit {
		a.refused++
		return false
	}
	a.spends.push(spend{at: now, bytes: bytes})
	a.windowBytes += bytes
	return true
}

// Refused returns the number of measurements that were not permitted.
func (a *Allowance) Refused() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// expire drops the spends that are older than the window. A spend exactly one window ago still counts, so that the budget
// also holds in a closed window of 10 s, which includes both its ends.
func (a *Allowance) expire(now time.Duration) {
	for a.spends.len() > 0 && now-a.spends.first().at > Window {
		a.windowBytes -= a.spends.first().bytes
		a.spends.pop()
	}
}
