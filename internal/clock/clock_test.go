package clock

import (
	"testing"
	"time"
)

// Guards against time that stands still while the machine is suspended, and against small differences between the clocks
// that add up.
func TestSuspensionCounts(t *testing.T) {
	start := time.Now()
	suspended := time.Duration(0)
	c := newClock(func() (time.Duration, bool) { return time.Hour + time.Since(start) + suspended, true })
	suspended = tolerance / 2
	if _, found := c.DetectSuspension(); found != 0 {
		t.Errorf("a difference of %s counts", suspended)
	}
	suspended = 4 * time.Second
	now, found := c.DetectSuspension()
	if found < 3900*time.Millisecond || now < 3900*time.Millisecond || c.Now() < now {
		t.Errorf("found %s, now %s, then %s", found, now, c.Now())
	}
	if _, again := c.DetectSuspension(); again != 0 {
		t.Errorf("the same suspension counts again: %s", again)
	}
}

// Guards against a machine without this clock on which time jumps.
func TestUnreadableClock(t *testing.T) {
	c := newClock(func() (time.Duration, bool) { return 0, false })
	if now, found := c.DetectSuspension(); found != 0 || now > time.Second {
		t.Errorf("now %s, found %s", now, found)
	}
	if _, ok := sinceBoot(); !ok {
		t.Error("the clock of this machine cannot be read")
	}
}
