package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// instance is one balancing machine. Instances share nothing.
type instance struct {
	index  int
	policy balancer.Policy
	// members maps the policy's indexes to targets, and positions maps back.
	members   []int
	positions []int
	credit    float64
	hedges    float64
	excluded  []int
}

func (m *Model) newInstance(index int) *instance {
	in := &instance{index: index}
	m.configure(in)
	m.planJoins(in)
	return in
}

// planJoins rebuilds the configuration when an absent target joins.
func (m *Model) planJoins(in *instance) {
	if in.index != 0 {
		return
	}
	for _, f := range m.settings.Faults {
		if f.Kind == FaultAbsent {
			m.schedule.add(event{at: f.Until, kind: configurationChanges})
		}
	}
}

// configure builds the policy for the targets in the configuration.
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
		if _, absent := m.settings.faulty(FaultAbsent, t.index, m.now); absent {
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

// serve sends a request to a target that it was not sent to yet.
func (m *Model) serve(id int) {
	r := &m.requests[id]
	in := m.instances[r.instance]
	if _, paused := m.settings.faulty(FaultPaused, in.index, m.now); paused {
		r.instance = (r.instance + 1) % m.settings.Instances
		m.serve(id)
		return
	}
	target, ok := m.pick(in, id)
	if !ok {
		m.finish(id, false)
		return
	}
	m.send(in, id, target)
	m.probe(in)
	if m.settings.HedgeAfter > 0 && r.attempts == 1 {
		in.hedges = min(in.hedges+m.settings.HedgeBudget, maxCredit)
		m.schedule.add(event{at: m.now + m.settings.HedgeAfter, kind: hedgeIsDue, subject: id})
	}
}

func (m *Model) pick(in *instance, id int) (int, bool) {
	in.excluded = in.excluded[:0]
	for c := m.requests[id].last; c >= 0; c = m.copies[c].previous {
		in.excluded = append(in.excluded, in.positions[m.copies[c].target])
	}
	if in.policy == nil {
		return m.allKnowing(in), true
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
	r.attempts++
	r.open++
	m.copies = append(m.copies, copyState{
		request: id, target: target, sent: m.now, work: r.work, previous: r.last,
	})
	r.last = len(m.copies) - 1
	if in.policy != nil {
		in.policy.Started(in.positions[target], m.now)
	}
	if m.settings.Observe != nil {
		m.settings.Observe(m.now, in.index, target)
	}
	m.schedule.add(event{at: m.now + m.zoneDelay(in, target), kind: copyReachesTarget, subject: r.last})
}

func (m *Model) zoneDelay(in *instance, target int) time.Duration {
	if m.targets[target].zone == in.index%m.settings.Zones {
		return 0
	}
	return m.settings.ZoneDelay
}

func (m *Model) reachTarget(id int) {
	copied := &m.copies[id]
	if copied.cancelled {
		return
	}
	t := m.targets[copied.target]
	m.remember(t)
	if _, gone := m.settings.faulty(FaultUnreachable, t.index, m.now); gone {
		m.answer(id, balancer.Failed)
		return
	}
	_, rejects := m.settings.faulty(FaultReject, t.index, m.now)
	if rejects || !m.admit(t, id) {
		m.answer(id, balancer.Shed)
	}
}

// end completes a copy at its target.
func (m *Model) end(id, version int) {
	copied := &m.copies[id]
	if copied.version != version || copied.ended {
		return
	}
	t := m.targets[copied.target]
	m.remove(t, id)
	t.learn(m.now - copied.admitted)
	m.remember(t)
	m.answer(id, balancer.Answered)
}

// answer sends the result of a copy back to the instance.
func (m *Model) answer(id int, verdict balancer.ResultKind) {
	copied := &m.copies[id]
	copied.ended = true
	copied.verdict = verdict
	copied.report = m.report(m.targets[copied.target])
	delay := m.settings.ResultDelay + m.zoneDelay(m.instances[m.requests[copied.request].instance], copied.target)
	if verdict == balancer.Shed {
		delay += rejectTime
	}
	m.schedule.add(event{at: m.now + delay, kind: resultReachesInstance, subject: id})
}

// postponed reschedules an event of a paused instance to the end of the pause.
func (m *Model) postponed(in *instance, e event) bool {
	pause, paused := m.settings.faulty(FaultPaused, in.index, m.now)
	if paused {
		e.at = pause.Until
		m.schedule.add(e)
	}
	return paused
}

func (m *Model) reachInstance(e event) {
	id := e.subject
	copied := &m.copies[id]
	r := &m.requests[copied.request]
	in := m.instances[r.instance]
	if m.postponed(in, e) || copied.cancelled {
		return
	}
	r.open--
	m.tell(in, id, copied.verdict)
	switch {
	case r.done:
	case copied.verdict == balancer.Answered:
		m.finish(copied.request, true)
	case r.open > 0:
	case r.attempts < m.settings.MaxAttempts:
		m.serve(copied.request)
	default:
		m.finish(copied.request, false)
	}
}

// tell reports the end of a copy to the policy.
func (m *Model) tell(in *instance, id int, verdict balancer.ResultKind) {
	copied := &m.copies[id]
	if in.policy == nil || in.positions[copied.target] < 0 {
		return
	}
	load := copied.report.inFlight
	if verdict == balancer.Failed || verdict == balancer.Cancelled || m.settings.NoLoadOnAnswers {
		load = balancer.NoLoadReport
	}
	in.policy.Finished(in.positions[copied.target], balancer.Result{
		Now: m.now, Elapsed: m.now - copied.sent, Kind: verdict, Load: load,
	})
}

// finish ends a request for its caller and cancels the copies that are still open.
func (m *Model) finish(id int, answered bool) {
	r := &m.requests[id]
	r.done = true
	m.result.record(&m.settings, r, m.now, answered)
	for c := r.last; c >= 0; c = m.copies[c].previous {
		if copied := &m.copies[c]; !copied.ended && !copied.cancelled {
			copied.cancelled = true
			copied.ended = true
			m.tell(m.instances[r.instance], c, balancer.Cancelled)
			m.schedule.add(event{at: m.now + m.settings.ResultDelay, kind: copyIsCancelled, subject: c})
		}
	}
}

// hedge sends a second copy of a slow request while the budget lasts.
func (m *Model) hedge(id int) {
	r := &m.requests[id]
	in := m.instances[r.instance]
	if r.done || r.attempts > 1 || in.hedges < 1 {
		return
	}
	target, ok := m.pick(in, id)
	if !ok {
		return
	}
	in.hedges--
	m.result.Hedges++
	m.send(in, id, target)
}
