package balancer

import "time"

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
	// rampPending marks a cold target that was not drawn yet.
	rampPending = -1
)

// succeeded records an answer of the target.
func (p *engine) succeeded(c *cell, now time.Duration) {
	if c.refusals.Load() != 0 {
		c.learnRefusal(false, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failuresInRow = 0
	if c.ejections > 0 && rampShare(c, now) >= 1 {
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
	readmitting := c.ejections > 0 && rampShare(c, now) < 1
	if c.failuresInRow < ejectAfter && !readmitting {
		return
	}
	if c.ejectedUntil.Load() != 0 || !p.reserveEjection() {
		return
	}
	length := ejectFor << min(c.ejections, maxEjectDoublings)
	c.ejections++
	c.failuresInRow = 0
	c.ejectedUntil.Store(int64(now + length))
}

// reserveEjection counts one more ejected target unless half of them are ejected.
func (p *engine) reserveEjection() bool {
	if p.shared.ejected.Add(1) <= p.shared.limit.Load() {
		return true
	}
	p.shared.ejected.Add(-1)
	return false
}

// admitted reports whether a target is not ejected, and readmits it when its time has come.
func (p *engine) admitted(c *cell, now time.Duration) bool {
	until := c.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	if int64(now) < until {
		return false
	}
	c.rampFrom.Store(max(1, int64(now)))
	if c.ejectedUntil.CompareAndSwap(until, 0) {
		p.shared.ejected.Add(-1)
	}
	return true
}

// rampShare returns the share of its draws that a target accepts.
func rampShare(c *cell, now time.Duration) float64 {
	from := c.rampFrom.Load()
	if from == 0 {
		return 1
	}
	if from == rampPending {
		c.rampFrom.CompareAndSwap(from, max(1, int64(now)))
		return rampFloor
	}
	age := time.Duration(int64(now) - from)
	if age >= rampFor {
		c.rampFrom.CompareAndSwap(from, 0)
		return 1
	}
	return max(rampFloor, float64(age)/float64(rampFor))
}

// recountEjected counts the ejected targets after a rebuild.
func (p *engine) recountEjected() {
	var ejected int64
	for _, c := range p.cells {
		if c.ejectedUntil.Load() != 0 {
			ejected++
		}
	}
	p.shared.ejected.Store(ejected)
	p.shared.limit.Store(int64(len(p.cells) / 2))
}
