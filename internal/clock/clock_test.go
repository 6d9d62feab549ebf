package clock

import (
	"testing"
	"time"
)

// Guards against a clock that stops while the host is suspended, and against small differences between the two clocks
// that accumulate.
func TestClockIncludesSuspensions(t *testing.T) {
	start := time.Now()
	suspended := time.Duration(0)
	c := newClock(func() (time.Duration, bool) { return time.Hour + time.Since(start) + suspended, true })
	suspended = suspensionTolerance / 2
	if _, found := c.DetectSuspension(); found != 0 {
		t.Errorf("a difference of %s was treated as a suspension", suspended)
	}
	suspended = 4 * time.Second
	now, found := c.DetectSuspension()
	if found < 3900*time.Millisecond || now < 3900*time.Millisecond || c.Now() < now {
		t.Errorf("found a suspension of %s, want about 4s; now is %s, then %s", found, now, c.Now())
	}
	if _, again := c.DetectSuspension(); again != 0 {
		t.Errorf("the same suspension was found again: %s", again)
	}
}

// Guards against jumps of the clock on a host on which the boot time cannot be read.
func TestUnreadableBootTime(t *testing.T) {
	c := newClock(func() (time.Duration, bool) { return 0, false })
	if now, found := c.DetectSuspension(); found != 0 || now > time.Second {
		t.Errorf("now is %s, found a suspension of %s, want none", now, found)
	}
	if _, ok := readBootTime(); !ok {
		t.Error("the boot time of this host cannot be read")
	}
}

// Guards against a suspension that one user of the clock finds and another one never learns of.
func TestDetectorsReportSuspensionsOfOthers(t *testing.T) {
	start := time.Now()
	suspended := time.Duration(0)
	c := newClock(func() (time.Duration, bool) { return time.Hour + time.Since(start) + suspended, true })
	first, second := c.Detector(), c.Detector()
	suspended = 4 * time.Second
	c.DetectSuspension()
	for name, detect := range map[string]func() (time.Duration, time.Duration){"first": first, "second": second} {
		if now, found := detect(); found < 3900*time.Millisecond || now < found {
			t.Errorf("%s: found a suspension of %s at %s, want about 4s", name, found, now)
		}
		if _, again := detect(); again != 0 {
			t.Errorf("%s: the same suspension was found again: %s", name, again)
		}
	}
}
