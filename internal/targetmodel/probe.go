package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// maxCredit bounds the probes and hedges that an instance may save up.
const maxCredit = 4

// probe sends the load probes that a request pays for.
func (m *Model) probe(in *instance) {
	in.credit = min(in.credit+m.settings.ProbesPerRequest, maxCredit)
	for in.policy != nil && in.credit >= 1 {
		in.credit--
		position, ok := in.policy.NextProbe(m.now, m.choices.Uint64())
		if !ok {
			return
		}
		m.sendProbe(in, in.members[position])
	}
}

func (m *Model) sendProbe(in *instance, target int) {
	m.result.count(&m.settings, m.now, &m.result.probes)
	if _, gone := m.settings.faulty(FaultUnreachable, target, m.now); gone {
		return
	}
	m.probes = append(m.probes, m.report(m.targets[target]))
	m.schedule.add(event{
		at:      m.now + m.settings.ResultDelay + 2*m.zoneDelay(in, target),
		kind:    probeReachesInstance,
		subject: in.index*m.settings.Targets + target,
		version: len(m.probes) - 1,
	})
}

func (m *Model) probeAnswered(e event) {
	in := m.instances[e.subject/m.settings.Targets]
	position := in.positions[e.subject%m.settings.Targets]
	if position < 0 || m.postponed(in, e) {
		return
	}
	report := m.probes[e.version]
	in.policy.Probed(position, balancer.ProbeResult{Now: m.now, InFlight: report.inFlight, Latency: report.latency})
}

// allKnowing returns the target with the least expected time to an answer, from the true state.
func (m *Model) allKnowing(in *instance) int {
	best, least := 0, time.Duration(1<<62)
	offset := m.choices.IntN(len(in.members))
	for i := range in.members {
		index := in.members[(i+offset)%len(in.members)]
		if expected := m.expected(in, m.targets[index]); expected < least {
			best, least = index, expected
		}
	}
	return best
}

func (m *Model) expected(in *instance, t *target) time.Duration {
	for c := range in.excluded {
		if in.excluded[c] == in.positions[t.index] {
			return time.Duration(1 << 61)
		}
	}
	ahead := max(0, t.inFlight()-m.settings.Slots+1)
	waits := 1 + float64(ahead)/float64(m.settings.Slots)
	return time.Duration(waits * float64(m.settings.ServiceTime) / t.speed)
}
