// Package budget bounds what measuring the load of targets may cost (guarantee
// G1). Each process holds a share of the budget of a service and spends it in
// a sliding window. Time is passed in and must be monotonic.
package budget

import (
	"math"
	"sync"
	"time"

	"github.com/basillink/basillink/operator"
)

// Window is the length of the sliding window over which the budget holds.
const Window = 10 * time.Second

// ProbeBytes is what one load probe is charged for: the request and the longest accepted answer.
const ProbeBytes = 400

// maxSpends bounds the ring of one allowance to 1 MiB. A higher share is cut, which never exceeds the budget.
const maxSpends = 1 << 16

// Allowance is the share of one service's budget that one process may spend on all kinds of measuring. It is safe
// for concurrent use.
type Allowance struct {
	mu sync.Mutex
	// spends holds the latest spends in the order of time, at most one for each permitted probe.
	spends ring
	probes int
	bytes  int
	// windowBytes is the sum over the spends in the window.
	windowBytes int
	// startFull is the end of the first window, in which nothing may be spent, because a predecessor may have
	// spent the whole share just before this process started.
	startFull time.Duration
	refused   uint64
}

// New returns the allowance of a process that starts at now. It permits nothing in its first window.
func New(measuring operator.Measuring, maxInstances int, now time.Duration) *Allowance {
	a := &Allowance{startFull: now + Window}
	a.limit(measuring, maxInstances)
	return a
}

// Resize changes the budget. What was spent under the old budget keeps counting.
func (a *Allowance) Resize(measuring operator.Measuring, maxInstances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit(measuring, maxInstances)
}

func (a *Allowance) limit(measuring operator.Measuring, maxInstances int) {
	a.probes = min(share(measuring.ProbesPerSecond, maxInstances), maxSpends)
	a.bytes = share(measuring.BytesPerSecond, maxInstances)
}

// share returns what one of several processes may spend in a window.
func share(perSecond float64, maxInstances int) int {
	if maxInstances < 1 || !(perSecond > 0) {
		return 0
	}
	total := math.Floor(perSecond * Window.Seconds() / float64(maxInstances))
	return int(min(total, math.MaxInt32))
}

// reserveShare is the part of the allowance that SpendBeyondReserve leaves, as a divisor.
const reserveShare = 10

// Spend charges one measurement of a number of bytes, and reports false when the allowance does not permit it. The
// charge precedes the measurement and is never returned, so that failed measurements count.
func (a *Allowance) Spend(now time.Duration, bytes int) bool {
	return a.spend(now, bytes, 0)
}

// SpendBeyondReserve is Spend for measurements that leave a tenth of the allowance, at least one measurement, to more
// urgent ones.
func (a *Allowance) SpendBeyondReserve(now time.Duration, bytes int) bool {
	return a.spend(now, bytes, reserveShare)
}

// spend charges one measurement unless it takes what is kept: a part of the allowance, or nothing when the divisor is 0.
func (a *Allowance) spend(now time.Duration, bytes, keepDivisor int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	keepProbes, keepBytes := 0, 0
	if keepDivisor > 0 {
		keepProbes = max(1, a.probes/keepDivisor)
		keepBytes = max(bytes, a.bytes/keepDivisor)
	}
	if now < a.startFull || a.spends.len()+keepProbes >= a.probes || a.windowBytes+bytes+keepBytes > a.bytes {
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

// expire drops the spends that left the window. A spend exactly one window ago still counts, so that a closed
// window of 10 s holds no more than the share.
func (a *Allowance) expire(now time.Duration) {
	for a.spends.len() > 0 && now-a.spends.first().at > Window {
		a.windowBytes -= a.spends.first().bytes
		a.spends.pop()
	}
}
