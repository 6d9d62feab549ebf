package targetmodel

import "time"

// target has slots and a queue. Requests in slots progress at its speed.
type target struct {
	index   int
	zone    int
	speed   float64
	running []int
	waiting []int
	slow    bool
	// latency is the smoothed latency of recent requests at the target.
	latency time.Duration
	history []report
	stuck   *report
}

// report is what a target says about its load.
type report struct {
	at       time.Duration
	inFlight int
	latency  time.Duration
}

// latencyWeight is the weight of a new latency in the smoothed one.
const latencyWeight = 8

func (t *target) inFlight() int { return len(t.running) + len(t.waiting) }

// admit puts a copy into a slot or the queue and reports false when both are full.
func (m *Model) admit(t *target, id int) bool {
	copied := &m.copies[id]
	copied.admitted = m.now
	if len(t.running) < m.settings.Slots {
		m.start(t, id)
		return true
	}
	if limit := m.settings.QueuePerSlot * m.settings.Slots; limit > 0 && len(t.waiting) >= limit {
		return false
	}
	t.waiting = append(t.waiting, id)
	return true
}

func (m *Model) start(t *target, id int) {
	t.running = append(t.running, id)
	m.copies[id].progressed = m.now
	m.planEnd(t, id)
}

// planEnd schedules the end of a running copy at the present speed and invalidates the end planned before.
func (m *Model) planEnd(t *target, id int) {
	copied := &m.copies[id]
	copied.version++
	wait := time.Duration(float64(copied.work) / t.speed)
	m.schedule.add(event{at: m.now + wait, kind: copyEnds, subject: id, version: copied.version})
}

// setSpeed changes the speed for running copies too.
func (m *Model) setSpeed(t *target, speed float64) {
	for _, id := range t.running {
		copied := &m.copies[id]
		copied.work -= time.Duration(float64(m.now-copied.progressed) * t.speed)
		copied.work = max(copied.work, 0)
		copied.progressed = m.now
	}
	t.speed = speed
	for _, id := range t.running {
		m.planEnd(t, id)
	}
}

// remove takes a copy out of its slot or the queue.
func (m *Model) remove(t *target, id int) {
	if removeID(&t.waiting, id) || !removeID(&t.running, id) {
		return
	}
	m.copies[id].version++
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		m.start(t, next)
	}
}

func removeID(ids *[]int, id int) bool {
	for i, candidate := range *ids {
		if candidate == id {
			*ids = append((*ids)[:i], (*ids)[i+1:]...)
			return true
		}
	}
	return false
}

func (t *target) learn(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += (latency - t.latency) / latencyWeight
}

// report returns the load report of a target under the faults in force.
func (m *Model) report(t *target) report {
	now := report{at: m.now, inFlight: t.inFlight(), latency: t.latency}
	if _, ok := m.settings.faulty(FaultReportIdle, t.index, m.now); ok {
		return report{}
	}
	if _, ok := m.settings.faulty(FaultReportStuck, t.index, m.now); ok {
		if t.stuck == nil {
			t.stuck = &now
		}
		return *t.stuck
	}
	if _, ok := m.settings.faulty(FaultReportLate, t.index, m.now); ok {
		return t.reportBefore(m.now - staleReportAge)
	}
	return now
}

func (t *target) reportBefore(at time.Duration) report {
	last := report{}
	for len(t.history) > 0 && t.history[0].at <= at {
		last = t.history[0]
		if len(t.history) == 1 || t.history[1].at > at {
			break
		}
		t.history = t.history[1:]
	}
	return last
}

// remember keeps the state for late reports.
func (m *Model) remember(t *target) {
	if _, ok := m.settings.faulty(FaultReportLate, t.index, m.now+staleReportAge); ok {
		t.history = append(t.history, report{at: m.now, inFlight: t.inFlight(), latency: t.latency})
	}
}

// currentSpeed derives the speed from the slow episode, faults and cold caches.
func (m *Model) currentSpeed(t *target) float64 {
	speed := 1.0
	_, faulty := m.settings.faulty(FaultSlow, t.index, m.now)
	if t.slow || faulty {
		speed /= m.settings.SlowFactor
	}
	if _, cold := m.settings.faulty(FaultAbsent, t.index, m.now-coldFor); cold {
		speed /= coldFactor
	}
	return speed
}
