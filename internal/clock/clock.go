// Package clock compares times, and measures elapsed time including the time for which the host was suspended. The monotonic clock
// of the Go runtime stops during a suspension, so that expired state would still look fresh after the host resumes.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionTolerance is the difference between the monotonic clock and the boot time that is not treated as a
// suspension. The two are not read at the same instant.
const suspensionTolerance = 50 * time.Millisecond

// Clock measures the time since its creation, including detected suspensions. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// bootTime returns the time since the host booted, including suspensions, or false if it cannot be read.
	bootTime      func() (time.Duration, bool)
	startBootTime time.Duration
	// suspended is the total length of the suspensions found by DetectSuspension, in nanoseconds.
	suspended atomic.Int64
}

// New returns a clock that starts at 0.
func New() *Clock { return newClock(readBootTime) }

func newClock(bootTime func() (time.Duration, bool)) *Clock {
	c := &Clock{start: time.Now(), bootTime: bootTime}
	c.startBootTime, _ = bootTime()
	return c
}

// readBootTime reads CLOCK_BOOTTIME.
func readBootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now returns the time since the creation of the clock. It includes only suspensions that DetectSuspension has found. It
// makes no system call.
func (c *Clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// Detector returns a function like DetectSuspension that reports each suspension once to its own caller, whoever found it first.
// The function is not safe for concurrent use.
func (c *Clock) Detector() func() (now, suspended time.Duration) {
	reported := time.Duration(c.suspended.Load())
	return func() (now, suspended time.Duration) {
		c.DetectSuspension()
		total := time.Duration(c.suspended.Load())
		suspended, reported = total-reported, total
		return time.Since(c.start) + total, suspended
	}
}

// DetectSuspension checks for a suspension since the last call. It returns the corrected time since the creation of the
// clock and the length of the new suspension, or 0 if there was none or the boot time cannot be read.
func (c *Clock) DetectSuspension() (now, suspended time.Duration) {
	bootTime, ok := c.bootTime()
	running := time.Since(c.start)
	if !ok {
		return c.Now(), 0
	}
	total, known := bootTime-c.startBootTime-running, time.Duration(c.suspended.Load())
	if found := total - known; found > suspensionTolerance && c.suspended.CompareAndSwap(int64(known), int64(total)) {
		return running + total, found
	}
	return c.Now(), 0
}
