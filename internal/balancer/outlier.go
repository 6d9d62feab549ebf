package balancer

import (
	"time"

	"github.com/basillink/basillink/internal/chart"
)

const (
	// ejectAfter is the number of results in a row without an answer that eject a target.
	ejectAfter = 5
	// ejectFor is the length of the first ejection. Each further one is twice as long.
	ejectFor = 500 * time.Millisecond
	// maxEjectDoublings bounds ejections to 8 s.
	maxEjectDoublings = 4
	// rampFor is how long a cold or readmitted target takes to reach its full share.
	rampFor = 2 * time.Second
	// rampFloor is the share with which a ramp begins.
	rampFloor = 0.05
)

// ejectionChart is charts/ejection.toml. It is compiled, because choices read the phase of each target that they draw.
var ejectionChart = chart.MustTable("ejection")

var (
	phaseServing     = ejectionChart.MustState("serving")
	phaseCold        = ejectionChart.MustState("cold")
	phaseWarming     = ejectionChart.MustState("warming")
	phaseEjected     = ejectionChart.MustState("ejected")
	phaseReadmitting = ejectionChart.MustState("readmitting")

	eventJoin    = ejectionChart.MustEvent("join")
	eventDraw    = ejectionChart.MustEvent("draw")
	eventEject   = ejectionChart.MustEvent("eject")
	eventReadmit = ejectionChart.MustEvent("readmit")
	eventRamped  = ejectionChart.MustEvent("ramped")
)

// fire takes the transition of an event. Choices read the phase without the lock, so the times of the next phase are
// stored before. The lock is held.
func (c *cell) fire(event chart.EventID) error { return c.phase.Fire(ejectionChart, event) }

// join makes a new target cold.
func (c *cell) join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.fire(eventJoin)
}

// succeeded records an answer of the target.
func (p *engine) succeeded(c *cell, now time.Duration) {
	if c.refusals.Load() != 0 {
		c.learnRefusal(false, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failuresInRow = 0
	if c.ejections == 0 {
		return
	}
	c.endRamp(now)
	if c.phase.State() == phaseServing {
		c.ejections = 0
	}
}

// failed records a result without an answer and ejects the target on sufficient evidence. A target that fails
// while it is being readmitted is ejected again at once.
func (p *engine) failed(c *cell, now time.Duration) {
	c.learnRefusal(true, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failuresInRow++
	c.endRamp(now)
	phase := c.phase.State()
	if c.failuresInRow < ejectAfter && phase != phaseReadmitting {
		return
	}
	if phase != phaseEjected {
		p.eject(c, now)
	}
}

// eject ejects a target unless half of them are ejected. Targets are counted instead of kept in a counter, which
// drifted when a target left the service while it was ejected. The lock of the cell is held.
func (p *engine) eject(c *cell, now time.Duration) {
	p.shared.ejecting.Lock()
	defer p.shared.ejecting.Unlock()
	if p.ejected() >= len(p.cells)/2 {
		return
	}
	length := ejectFor << min(c.ejections, maxEjectDoublings)
	c.ejections++
	c.failuresInRow = 0
	c.ejectedUntil.Store(int64(now + length))
	_ = c.fire(eventEject)
}

// ejected counts the ejected targets.
func (p *engine) ejected() int {
	count := 0
	for _, c := range p.cells {
		if c.phase.State() == phaseEjected {
			count++
		}
	}
	return count
}

// admitted reports whether a target is not ejected, and readmits it when its time has come.
func (p *engine) admitted(c *cell, now time.Duration) bool {
	return c.phase.State() != phaseEjected || p.readmit(c, now)
}

// readmit ends an ejection whose time has passed. It reports whether the target is not ejected any more.
func (p *engine) readmit(c *cell, now time.Duration) bool {
	if int64(now) < c.ejectedUntil.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.State() != phaseEjected {
		return true
	}
	// Another choice may have readmitted the target, and it may have been ejected again.
	if int64(now) < c.ejectedUntil.Load() {
		return false
	}
	c.rampFrom.Store(int64(now))
	_ = c.fire(eventReadmit)
	return true
}

// rampShare returns the share of its draws that a target accepts. It is small enough to be inlined into each draw.
func rampShare(c *cell, now time.Duration) float64 {
	if c.phase.State() == phaseServing {
		return 1
	}
	return c.rampShare(now)
}

func (c *cell) rampShare(now time.Duration) float64 {
	if c.phase.State() == phaseCold {
		c.beginRamp(now)
		return rampFloor
	}
	age := now - time.Duration(c.rampFrom.Load())
	if age < rampFor {
		return max(rampFloor, float64(age)/float64(rampFor))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRamp(now)
	return 1
}

// beginRamp starts the ramp of a target that was drawn for the first time.
func (c *cell) beginRamp(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.State() == phaseCold {
		c.rampFrom.Store(int64(now))
		_ = c.fire(eventDraw)
	}
}

// endRamp gives a target its full share when its ramp is over. The lock is held.
func (c *cell) endRamp(now time.Duration) {
	phase := c.phase.State()
	ramping := phase == phaseWarming || phase == phaseReadmitting
	if ramping && now-time.Duration(c.rampFrom.Load()) >= rampFor {
		_ = c.fire(eventRamped)
	}
}
