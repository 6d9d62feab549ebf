// Package clock tells elapsed time that includes the time for which the machine was suspended. The monotonic clock of the
// runtime stands still meanwhile, so that what expired would look fresh after the machine resumes.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the difference between the two clocks that does not count as a suspension. They are read one after the other.
const tolerance = 50 * time.Millisecond

// Clock is safe for concurrent use.
type Clock struct {
	start time.Time
	// boot returns the time since the start of the machine, with suspensions, and false if it cannot be read.
	boot  func() (time.Duration, bool)
	begin time.Duration
	// suspended is the time of all suspensions that Check has found, in ns.
	suspended atomic.Int64
}

// New returns a clock that starts at 0.
func New() *Clock { return newClock(sinceBoot) }

func newClock(boot func() (time.Duration, bool)) *Clock {
	c := &Clock{start: time.Now(), boot: boot}
	c.begin, _ = boot()
	return c
}

func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now returns the time since the start. Suspensions count once Check has found them; Now makes no system call.
func (c *Clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// Check looks for a suspension. It returns the time since the start and how much longer than before the suspensions are.
func (c *Clock) DetectSuspension() (now, suspended time.Duration) {
	boot, ok := c.boot()
	running := time.Since(c.start)
	if !ok {
		return c.Now(), 0
	}
	total, known := boot-c.begin-running, time.Duration(c.suspended.Load())
	if found := total - known; found > tolerance && c.suspended.CompareAndSwap(int64(known), int64(total)) {
		return running + total, found
	}
	return c.Now(), 0
}
