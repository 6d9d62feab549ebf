package targetmodel

import (
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// maxCredit is the maximum number of probes, and of hedging attempts, that an instance can accumulate.
const maxCredit = 4

// sendProbes adds the probe credit of one request and sends load probes while there is credit and the policy wants any.
func (m *Model) sendProbes(in *instance) {
	in.probeCredit = min(in.probeCredit+m.settings.ProbesPerRequest, maxCredit)
	for in.policy != nil && in.probeCredit >= 1 {
		in.probeCredit--
		position, ok := in.policy.NextProbe(m.now, m.choices.Uint64())
		if !ok {
			return
		}
		m.sendProbe(in, in.members[position])
	}
}

func (m *Model) sendProbe(in *instance, target int) {
	m.report.countAfterWarmup(&m.settings, m.now, &m.report.probes)
	if _, unreachable := m.settings.activeFault(FaultUnreachable, target, m.now); unreachable {
		return
	}
	m.probeReports = append(m.probeReports, m.loadReport(m.targets[target]))
	m.schedule.add(event{
		at:       m.now + m.settings.ResultDelay + 2*m.zoneDelay(in, target),
		kind:     eventProbeReport,
		subject:  in.index*m.settings.Targets + target,
		argument: len(m.probeReports) - 1,
	})
}

func (m *Model) handleProbeReport(e event) {
	in := m.instances[e.subject/m.settings.Targets]
	position := in.positions[e.subject%m.settings.Targets]
	if position < 0 || m.postponeIfPaused(in, e) {
		return
	}
	report := m.probeReports[e.argument]
	in.policy.Probed(position, balancer.ProbeResult{Now: m.now, InFlight: report.inFlight, Latency: report.latency})
}

// pickAllKnowing returns the target with the lowest expected latency, computed from the true state of all targets. The
// random offset breaks ties.
func (m *Model) pickAllKnowing(in *instance) int {
	best, least := 0, time.Duration(1<<62)
	offset := m.choices.IntN(len(in.members))
	for i := range in.members {
		index := in.members[(i+offset)%len(in.members)]
		if expected := m.expectedLatency(in, m.targets[index]); expected < least {
			best, least = index, expected
		}
	}
	return best
}

// expectedLatency estimates the latency at a target from its queue and its speed. It is very large for excluded targets.
func (m *Model) expectedLatency(in *instance, t *target) time.Duration {
	for i := range in.excluded {
		if in.excluded[i] == in.positions[t.index] {
			return time.Duration(1 << 61)
		}
	}
	ahead := max(0, t.inFlight()-m.settings.Slots+1)
	waits := 1 + float64(ahead)/float64(m.settings.Slots)
	return time.Duration(waits * float64(m.settings.ServiceTime) / t.speed)
}
