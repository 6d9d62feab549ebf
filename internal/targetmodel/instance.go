package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// instance is one instance of the load balancer. Instances share no state.
type instance struct {
	index int
	// policy is nil for the all-knowing dispatcher.
	policy balancer.Policy
	// members maps the positions that the policy uses to targets. Positions maps targets to positions, or to -1 if the
	// target is not in the configuration.
	members   []int
	positions []int
	// probeCredit and hedgeCredit are the numbers of probes and hedging attempts that the instance may send now.
	probeCredit float64
	hedgeCredit float64
	// excluded is a buffer for the positions of the targets that a request was already sent to.
	excluded []int
}

func (m *Model) newInstance(index int) *instance {
	in := &instance{index: index}
	m.configure(in)
	m.scheduleJoins(in)
	return in
}

// scheduleJoins schedules a configuration change for each time at which an absent target joins. The event applies to all
// instances, so it is scheduled only once, for the first one.
func (m *Model) scheduleJoins(in *instance) {
	if in.index != 0 {
		return
	}
	for _, f := range m.settings.Faults {
		if f.Kind == FaultAbsent {
			m.schedule.add(event{at: f.Until, kind: eventConfigChange})
		}
	}
}

// configure builds the policy for the targets that are in the configuration now.
func (m *Model) configure(in *instance) {
	config := balancer.Config{
		Service:          "model",
		Instance:         uint64(in.index),
		Instances:        m.settings.Instances,
		ProbesPerRequest: m.settings.ProbesPerRequest,
	}
	in.members = in.members[:0]
	in.positions = make([]int, m.settings.Targets)
	for _, t := range m.targets {
		in.positions[t.index] = -1
		if _, absent := m.settings.activeFault(FaultAbsent, t.index, m.now); absent {
			continue
		}
		in.positions[t.index] = len(in.members)
		in.members = append(in.members, t.index)
		config.Targets = append(config.Targets, balancer.Target{
			Address:  "target-" + string(rune('A'+t.index)),
			SameZone: t.zone == in.index%m.settings.Zones,
			Slots:    m.settings.Slots,
		})
	}
	if m.settings.Builder != nil {
		in.policy = m.settings.Builder.Build(config, in.policy)
	}
}

// dispatch sends a request to a target that it has not been sent to yet. If the instance is paused, the next one takes the
// request.
func (m *Model) dispatch(id int) {
	r := &m.requests[id]
	in := m.instances[r.instance]
	if _, paused := m.settings.activeFault(FaultPaused, in.index, m.now); paused {
		r.instance = (r.instance + 1) % m.settings.Instances
		m.dispatch(id)
		return
	}
	target, ok := m.pick(in, id)
	if !ok {
		m.finish(id, false)
		return
	}
	m.send(in, id, target)
	m.sendProbes(in)
	if m.settings.HedgeAfter > 0 && r.attemptCount == 1 {
		in.hedgeCredit = min(in.hedgeCredit+m.settings.HedgeBudget, maxCredit)
		m.schedule.add(event{at: m.now + m.settings.HedgeAfter, kind: eventHedge, subject: id})
	}
}

// pick selects a target for a request. It returns false if the policy offers none.
func (m *Model) pick(in *instance, id int) (int, bool) {
	in.excluded = in.excluded[:0]
	for i := m.requests[id].lastAttempt; i >= 0; i = m.attempts[i].previous {
		in.excluded = append(in.excluded, in.positions[m.attempts[i].target])
	}
	if in.policy == nil {
		return m.pickAllKnowing(in), true
	}
	request := balancer.Request{Now: m.now, Random: m.choices.Uint64(), Excluded: in.excluded}
	position, ok := in.policy.Pick(request)
	if !ok {
		return 0, false
	}
	return in.members[position], true
}

func (m *Model) send(in *instance, id, target int) {
	r := &m.requests[id]
	r.attemptCount++
	r.outstanding++
	m.attempts = append(m.attempts, attempt{
		request: id, target: target, sentAt: m.now, remainingWork: r.work, previous: r.lastAttempt,
	})
	r.lastAttempt = len(m.attempts) - 1
	if in.policy != nil {
		in.policy.Started(in.positions[target], m.now)
	}
	if m.settings.Observe != nil {
		m.settings.Observe(m.now, in.index, target)
	}
	m.schedule.add(event{at: m.now + m.zoneDelay(in, target), kind: eventTargetArrival, subject: r.lastAttempt})
}

// zoneDelay returns the additional one-way delay between an instance and a target.
func (m *Model) zoneDelay(in *instance, target int) time.Duration {
	if m.targets[target].zone == in.index%m.settings.Zones {
		return 0
	}
	return m.settings.ZoneDelay
}

func (m *Model) handleTargetArrival(id int) {
	a := &m.attempts[id]
	if a.cancelled {
		return
	}
	t := m.targets[a.target]
	m.recordHistory(t)
	if _, unreachable := m.settings.activeFault(FaultUnreachable, t.index, m.now); unreachable {
		m.sendResult(id, balancer.Failed)
		return
	}
	_, rejecting := m.settings.activeFault(FaultReject, t.index, m.now)
	if rejecting || !m.admit(t, id) {
		m.sendResult(id, balancer.Shed)
	}
}

// handleCompletion completes an attempt at its target, unless the event is outdated or the attempt was cancelled.
func (m *Model) handleCompletion(id, version int) {
	a := &m.attempts[id]
	if a.completionVersion != version || a.finished {
		return
	}
	t := m.targets[a.target]
	m.remove(t, id)
	t.updateLatency(m.now - a.admittedAt)
	m.recordHistory(t)
	m.sendResult(id, balancer.Answered)
}

// sendResult sends the result of an attempt back to the instance.
func (m *Model) sendResult(id int, kind balancer.ResultKind) {
	a := &m.attempts[id]
	a.finished = true
	a.result = kind
	a.loadReport = m.loadReport(m.targets[a.target])
	delay := m.settings.ResultDelay + m.zoneDelay(m.instances[m.requests[a.request].instance], a.target)
	if kind == balancer.Shed {
		delay += rejectDelay
	}
	m.schedule.add(event{at: m.now + delay, kind: eventResult, subject: id})
}

// postponeIfPaused reschedules an event to the end of the pause if the instance is paused, and reports whether it is.
func (m *Model) postponeIfPaused(in *instance, e event) bool {
	pause, paused := m.settings.activeFault(FaultPaused, in.index, m.now)
	if paused {
		e.at = pause.Until
		m.schedule.add(e)
	}
	return paused
}

// handleResult reports the result of an attempt to the policy, and finishes or retries the request.
func (m *Model) handleResult(e event) {
	id := e.subject
	a := &m.attempts[id]
	r := &m.requests[a.request]
	in := m.instances[r.instance]
	if m.postponeIfPaused(in, e) || a.cancelled {
		return
	}
	r.outstanding--
	m.reportResult(in, id, a.result)
	switch {
	case r.done:
	case a.result == balancer.Answered:
		m.finish(a.request, true)
	case r.outstanding > 0:
	case r.attemptCount < m.settings.MaxAttempts:
		m.dispatch(a.request)
	default:
		m.finish(a.request, false)
	}
}

// reportResult reports the result of an attempt to the policy, unless the target has left the configuration.
func (m *Model) reportResult(in *instance, id int, kind balancer.ResultKind) {
	a := &m.attempts[id]
	if in.policy == nil || in.positions[a.target] < 0 {
		return
	}
	load := a.loadReport.inFlight
	if kind == balancer.Failed || kind == balancer.Cancelled || m.settings.NoLoadOnAnswers {
		load = balancer.NoLoadReport
	}
	in.policy.Finished(in.positions[a.target], balancer.Result{
		Now: m.now, Elapsed: m.now - a.sentAt, Kind: kind, Load: load,
	})
}

// finish records the outcome of a request and cancels its outstanding attempts.
func (m *Model) finish(id int, answered bool) {
	r := &m.requests[id]
	r.done = true
	m.report.recordRequest(&m.settings, r, m.now, answered)
	for i := r.lastAttempt; i >= 0; i = m.attempts[i].previous {
		if a := &m.attempts[i]; !a.finished && !a.cancelled {
			a.cancelled = true
			a.finished = true
			m.reportResult(m.instances[r.instance], i, balancer.Cancelled)
			m.schedule.add(event{at: m.now + m.settings.ResultDelay, kind: eventCancel, subject: i})
		}
	}
}

// hedge sends a second attempt of a request that has no answer yet, if the hedging budget allows it.
func (m *Model) hedge(id int) {
	r := &m.requests[id]
	in := m.instances[r.instance]
	if r.done || r.attemptCount > 1 || in.hedgeCredit < 1 {
		return
	}
	target, ok := m.pick(in, id)
	if !ok {
		return
	}
	in.hedgeCredit--
	m.report.Hedges++
	m.send(in, id, target)
}
