package targetmodel

import "time"

// target is a target with slots and a queue. The attempts in its slots progress at its speed.
type target struct {
	index int
	zone  int
	// speed is the work done per unit of time. 1 is full speed.
	speed float64
	// running and waiting hold the attempts in the slots and in the queue.
	running       []int
	waiting       []int
	inSlowEpisode bool
	// latency is a moving average of the latency of attempts at the target.
	latency time.Duration
	// history holds past load reports for FaultReportLate, oldest first.
	history []loadReport
	// stuckReport is the load report that FaultReportStuck repeats.
	stuckReport *loadReport
}

// loadReport is the load that a target reports.
type loadReport struct {
	at       time.Duration
	inFlight int
	latency  time.Duration
}

// latencySmoothing is the inverse of the weight of a new sample in the moving average of the latency.
const latencySmoothing = 8

func (t *target) inFlight() int { return len(t.running) + len(t.waiting) }

// admit puts an attempt into a slot or the queue. It returns false if both are full.
func (m *Model) admit(t *target, id int) bool {
	a := &m.attempts[id]
	a.admittedAt = m.now
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
	m.attempts[id].progressedAt = m.now
	m.scheduleCompletion(t, id)
}

// scheduleCompletion schedules the completion of a running attempt at the current speed, and invalidates the completion
// event scheduled before.
func (m *Model) scheduleCompletion(t *target, id int) {
	a := &m.attempts[id]
	a.completionVersion++
	wait := time.Duration(float64(a.remainingWork) / t.speed)
	m.schedule.add(event{at: m.now + wait, kind: eventCompletion, subject: id, argument: a.completionVersion})
}

// setSpeed changes the speed of a target and reschedules the completions of its running attempts.
func (m *Model) setSpeed(t *target, speed float64) {
	for _, id := range t.running {
		a := &m.attempts[id]
		a.remainingWork -= time.Duration(float64(m.now-a.progressedAt) * t.speed)
		a.remainingWork = max(a.remainingWork, 0)
		a.progressedAt = m.now
	}
	t.speed = speed
	for _, id := range t.running {
		m.scheduleCompletion(t, id)
	}
}

// remove takes an attempt out of its slot or the queue. If that frees a slot, the next waiting attempt starts.
func (m *Model) remove(t *target, id int) {
	if removeID(&t.waiting, id) || !removeID(&t.running, id) {
		return
	}
	m.attempts[id].completionVersion++
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

func (t *target) updateLatency(latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += (latency - t.latency) / latencySmoothing
}

// loadReport returns the load report that a target sends now, as falsified by the active faults.
func (m *Model) loadReport(t *target) loadReport {
	current := loadReport{at: m.now, inFlight: t.inFlight(), latency: t.latency}
	if _, ok := m.settings.activeFault(FaultReportIdle, t.index, m.now); ok {
		return loadReport{}
	}
	if _, ok := m.settings.activeFault(FaultReportStuck, t.index, m.now); ok {
		if t.stuckReport == nil {
			t.stuckReport = &current
		}
		return *t.stuckReport
	}
	if _, ok := m.settings.activeFault(FaultReportLate, t.index, m.now); ok {
		return t.lastReportBefore(m.now - staleReportAge)
	}
	return current
}

// lastReportBefore returns the newest report in the history up to a time, or one of an idle target. It discards older
// reports.
func (t *target) lastReportBefore(at time.Duration) loadReport {
	last := loadReport{}
	for len(t.history) > 0 && t.history[0].at <= at {
		last = t.history[0]
		if len(t.history) == 1 || t.history[1].at > at {
			break
		}
		t.history = t.history[1:]
	}
	return last
}

// recordHistory records the state of a target if FaultReportLate will be active when that state is staleReportAge old.
func (m *Model) recordHistory(t *target) {
	if _, ok := m.settings.activeFault(FaultReportLate, t.index, m.now+staleReportAge); ok {
		t.history = append(t.history, loadReport{at: m.now, inFlight: t.inFlight(), latency: t.latency})
	}
}

// currentSpeed computes the speed of a target from its slow episode, the active faults and whether its caches are cold.
func (m *Model) currentSpeed(t *target) float64 {
	speed := 1.0
	_, faulty := m.settings.activeFault(FaultSlow, t.index, m.now)
	if t.inSlowEpisode || faulty {
		speed /= m.settings.SlowFactor
	}
	if _, cold := m.settings.activeFault(FaultAbsent, t.index, m.now-coldDuration); cold {
		speed /= coldFactor
	}
	return speed
}
