package fleet

import (
	"sync"
	"time"
)

// suspensionClock reads the clock of a node and detects suspensions of the host for several users. It is safe for concurrent use.
type suspensionClock struct {
	detect func() (now, suspended time.Duration)

	mu sync.Mutex
	// unreported is the length of the suspensions that the control loop was not told of.
	unreported time.Duration
}

// now returns the time including a suspension that has just ended.
func (c *suspensionClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, suspended := c.detect()
	c.unreported += suspended
	return now
}

// takeSuspended returns the time, and for how long the host was suspended since the last call.
func (c *suspensionClock) takeSuspended() (now, suspended time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, suspended = c.detect()
	suspended += c.unreported
	c.unreported = 0
	return now, suspended
}
