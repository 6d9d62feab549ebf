package balancer

import (
	"sync"
	"sync/atomic"
	"time"
)

// policySpec describes one of the policies that samplingPolicy implements. It is the Builder of that policy.
type policySpec struct {
	name string
	// candidates is the number of targets that Pick compares.
	candidates int
	// spillCandidates is the number of additional targets, drawn from all targets, that Pick considers while the best
	// candidate so far has no free slot.
	spillCandidates int
	// usesProbes and usesAnswerReports select the sources of load reports: load probes, and headers of answers.
	usesProbes, usesAnswerReports bool
	// score returns the cost of sending a request to a target, and the confidence in the estimate of its load, from
	// 0 to 1. The candidate with the lowest cost wins.
	score func(p *samplingPolicy, s *targetState, now time.Duration) (cost, confidence float64)
	// usesLatency is true if the local cost includes the ages of requests in flight and the latency of answers.
	usesLatency bool
	// limitsPreferred limits the number of preferred targets to PreferredSize.
	limitsPreferred bool
	// roundRobin picks targets in turn instead of at random.
	roundRobin bool
}

func (s *policySpec) usesLoadReports() bool { return s.usesProbes || s.usesAnswerReports }

// Name implements Builder.
func (s *policySpec) Name() string { return s.name }

// Build implements Builder.
func (s *policySpec) Build(config Config, previous Policy) Policy {
	p := &samplingPolicy{
		spec:           s,
		indexByAddress: make(map[string]int, len(config.Targets)),
		targets:        make([]*targetState, len(config.Targets)),
		maxSlots:       1,
	}
	old, _ := previous.(*samplingPolicy)
	p.inheritState(config, old)
	p.ranked = rankTargets(config)
	p.selectPreferred(config)
	return p
}

// samplingPolicy is a Policy that draws a few candidates at random and picks the one with the lowest cost.
type samplingPolicy struct {
	spec           *policySpec
	indexByAddress map[string]int
	targets        []*targetState
	maxSlots       float64
	// preferenceCosts holds the additional cost of each target: 0 for preferred ones, nonPreferredCost for others.
	preferenceCosts []float64
	// ranked holds the indexes of all targets in the order of rankTargets, and preferred those of the targets that this
	// instance uses first.
	ranked    []int
	preferred []int
	// rotation is the counter of the round-robin policy. It is carried over when the policy is rebuilt.
	rotation atomic.Uint64
	service  *serviceState
}

// serviceState is what this instance knows about the service as a whole. It is carried over when the policy is rebuilt.
type serviceState struct {
	// meanLoad is the EWMA of the load reports of all targets, in thousandths of a request.
	meanLoad atomic.Int64
	// typicalLatency is the EWMA of the latency of answers of all targets in nanoseconds. Long answers are capped, see
	// updateTypicalLatency.
	typicalLatency atomic.Int64
	// ejectMu serializes ejections, so that concurrent ones cannot exceed the limit on ejected targets.
	ejectMu sync.Mutex
}

// inheritState reuses the state of the targets that the old policy has too. Other targets start cold, unless there is no
// old policy: then the service is new and all its targets serve at once.
func (p *samplingPolicy) inheritState(config Config, old *samplingPolicy) {
	p.service = &serviceState{}
	if old != nil {
		p.service = old.service
		p.rotation.Store(old.rotation.Load())
	}
	for i, target := range config.Targets {
		p.indexByAddress[target.Address] = i
		p.maxSlots = max(p.maxSlots, float64(target.Slots))
		p.targets[i] = &targetState{}
		if old == nil {
			continue
		}
		if oldIndex, ok := old.indexByAddress[target.Address]; ok {
			p.targets[i] = old.targets[oldIndex]
			continue
		}
		p.targets[i].startCold()
	}
}

// Pick implements Policy.
func (p *samplingPolicy) Pick(req Request) (int, bool) {
	sampler := candidateSampler{policy: p, req: &req, random: req.Random}
	first, ok := sampler.next(0)
	if !ok || p.spec.candidates < 2 {
		return first, ok
	}
	best := p.evaluate(first, &req)
	confidence := best.confidence
	for k := 1; k < p.spec.candidates || k < p.spec.candidates+p.spec.spillCandidates && best.cost > spillCost; k++ {
		target, _ := sampler.next(k)
		other := p.evaluate(target, &req)
		confidence = max(confidence, other.confidence)
		if other.cost < best.cost {
			best = other
		}
	}
	if p.spec.usesLoadReports() && confidence <= 0 {
		return sampler.lowerLocalCost(first), true
	}
	p.targets[best.target].reportUses.Add(1)
	return best.target, true
}

// candidate is a target that Pick compares.
type candidate struct {
	target int
	cost   float64
	// confidence in the estimate of the target's load, from 0 to 1.
	confidence float64
}

const (
	// failureCost is the additional cost of a target with a failure rate of 1, in requests per slot.
	failureCost = 20
	// retryPreferredCost is the additional cost of a preferred target for a retry, in requests per slot. The failure
	// of an availability zone can take down all preferred targets at the same time, so a retry should go elsewhere.
	retryPreferredCost = 2
	// spillCost is the cost of a target without a free slot, in requests per slot.
	spillCost = 1
)

// evaluate returns a candidate with its total cost for a request.
func (p *samplingPolicy) evaluate(target int, req *Request) candidate {
	s := p.targets[target]
	cost, confidence := p.spec.score(p, s, req.Now)
	cost += failureCost * s.failureRate(req.Now)
	switch extra := p.preferenceCosts[target]; {
	case extra > 0:
		cost += extra + (1-confidence)*unknownLoadCost
	case len(req.Excluded) > 0:
		cost += retryPreferredCost
	}
	return candidate{target: target, cost: cost, confidence: confidence}
}

// Started implements Policy.
func (p *samplingPolicy) Started(target int, now time.Duration) {
	s := p.targets[target]
	s.startTimeSum.Add(int64(now))
	s.inFlight.Add(1)
}

// Finished implements Policy.
func (p *samplingPolicy) Finished(target int, result Result) {
	s := p.targets[target]
	s.inFlight.Add(-1)
	s.startTimeSum.Add(-int64(result.Now - result.Elapsed))
	switch result.Kind {
	case Answered:
		s.updateLatency(result.Elapsed, result.Now)
		p.updateTypicalLatency(result.Elapsed)
		if p.spec.usesAnswerReports && result.Load != NoLoadReport {
			s.updateLoad(result.Load, result.Now)
			updateEWMA(&p.service.meanLoad, int64(result.Load)*loadScale)
		}
		p.recordSuccess(s, result.Now)
	case Shed, Failed:
		p.recordFailure(s, result.Now)
	}
}

// maxTypicalSample caps the latency of one answer in the typical latency, as a multiple of the typical latency.
const maxTypicalSample = 4

// updateTypicalLatency adds the latency of an answer to the typical latency. The latency is capped, because uncapped long
// answers would raise the typical latency so far that slow targets go unnoticed.
func (p *samplingPolicy) updateTypicalLatency(latency time.Duration) {
	if typical := p.typicalLatency(); typical > 0 {
		latency = min(latency, maxTypicalSample*typical)
	}
	updateEWMA(&p.service.typicalLatency, int64(latency))
}

// NextProbe implements Policy. Of a few random targets it returns the one whose load was refreshed longest ago.
func (p *samplingPolicy) NextProbe(now time.Duration, random uint64) (int, bool) {
	if !p.spec.usesProbes || len(p.ranked) == 0 {
		return 0, false
	}
	best := -1
	from := p.preferred
	if randomBelow(&random, wideProbeInterval) == 0 {
		from = p.ranked
	}
	for range probeCandidates {
		candidate := from[randomBelow(&random, len(from))]
		if best < 0 || p.targets[candidate].loadRefreshedAt.Load() < p.targets[best].loadRefreshedAt.Load() {
			best = candidate
		}
	}
	p.targets[best].loadRefreshedAt.Store(int64(now))
	return best, true
}

// wideProbeInterval is the inverse of the share of probes that may go to any target. The others go to preferred targets,
// because most candidates of a pick are preferred targets.
const wideProbeInterval = 4

// probeCandidates is the number of random targets that NextProbe compares.
const probeCandidates = 4

// Probed implements Policy.
func (p *samplingPolicy) Probed(target int, probe ProbeResult) {
	if !p.spec.usesProbes {
		return
	}
	p.targets[target].updateLoad(probe.InFlight, probe.Now)
	updateEWMA(&p.service.meanLoad, int64(probe.InFlight)*loadScale)
}

// loadScale scales loads, so that they can be averaged as integers.
const loadScale = 1000

// ewmaShift sets the weight of one value in a service-wide average to 1/64.
const ewmaShift = 6

// updateEWMA adds a value to an exponentially weighted moving average. The update is not atomic: when goroutines race, a
// value may be lost, which only delays the average.
func updateEWMA(average *atomic.Int64, value int64) {
	old := average.Load()
	if old == 0 {
		average.Store(value)
		return
	}
	average.Store(old + (value-old)>>ewmaShift)
}
