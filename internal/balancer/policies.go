package balancer

import (
	"math"
	"strconv"
	"time"
)

// Names of the policies.
const (
	NameRandom          = "random"
	NameRoundRobin      = "round_robin"
	NameTwoChoices      = "two_choices"
	NameProbing         = "probing"
	NameLatencyWeighted = "latency_weighted"
	NameReported        = "reported"
	NameCombined        = "combined"
)

var twoChoices = &policySpec{name: NameTwoChoices, candidates: 2, score: (*samplingPolicy).scoreInFlight}

var builders = []Builder{
	&policySpec{name: NameRandom, candidates: 1},
	&policySpec{name: NameRoundRobin, candidates: 1, roundRobin: true},
	twoChoices,
	&policySpec{name: NameProbing, candidates: 4, usesProbes: true, score: (*samplingPolicy).scoreReportedLoad},
	&policySpec{name: NameLatencyWeighted, candidates: 2, score: (*samplingPolicy).scoreLatencyWeighted},
	&policySpec{name: NameReported, candidates: 4, usesAnswerReports: true, score: (*samplingPolicy).scoreReportedLoad},
	&policySpec{name: NameCombined, candidates: 6, spillCandidates: 6, usesLatency: true, usesProbes: true, usesAnswerReports: true, limitsPreferred: true, score: (*samplingPolicy).scoreCombined},
}

// Builders returns the registered builders. The slice must not be modified.
func Builders() []Builder { return builders }

// Find returns the builder that is registered under a name, and whether there is one.
func Find(name string) (Builder, bool) {
	for _, b := range builders {
		if b.Name() == name {
			return b, true
		}
	}
	return nil, false
}

// UnknownPolicyError reports a policy name that is not registered.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return "no policy is registered as " + strconv.Quote(e.Name)
}

// Names returns the names of the registered policies.
func Names() []string {
	names := make([]string, len(builders))
	for i, b := range builders {
		names[i] = b.Name()
	}
	return names
}

// scoreInFlight is the score of two_choices: the requests in flight from this instance.
func (p *samplingPolicy) scoreInFlight(s *targetState, _ time.Duration) (float64, float64) {
	return float64(s.inFlight.Load()), 0
}

// scoreLatencyWeighted is the score of latency_weighted: the average latency, multiplied by the requests in flight from
// this instance including the new one.
func (p *samplingPolicy) scoreLatencyWeighted(s *targetState, _ time.Duration) (float64, float64) {
	return float64(s.latency.Load()) * float64(s.inFlight.Load()+1), 0
}

const (
	// maxFreshReportAge is the age up to which a report counts in full, and the half-life of its weight after that. The
	// load of targets changes within milliseconds: in the model, when reports count in full for 20 ms or more, instances
	// follow the same outdated reports, and more probes make the tail latency worse.
	maxFreshReportAge = 5 * time.Millisecond
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 50 * time.Millisecond
	// maxReportUses is the number of picks of a target for which one report is used.
	maxReportUses = 16
)

// estimateLoad returns the estimated load of a target in requests, and the confidence in it from 0 to 1. The estimate is
// the last load report, adjusted for the requests that this instance has sent or finished since. As the report ages, the
// estimate moves to the prior load.
func (p *samplingPolicy) estimateLoad(s *targetState, now time.Duration) (load, confidence float64) {
	inFlight := float64(s.inFlight.Load())
	prior := p.priorLoad(s)
	reportedAt := s.reportedAt.Load()
	age := time.Duration(int64(now) - reportedAt)
	if reportedAt == 0 || age >= maxReportAge || s.reportUses.Load() >= maxReportUses {
		return prior, 0
	}
	adjusted := max(inFlight, float64(s.reportOffset.Load())+inFlight)
	if age <= maxFreshReportAge {
		return adjusted, 1
	}
	confidence = math.Exp2(-float64(age-maxFreshReportAge) / float64(maxFreshReportAge))
	return confidence*adjusted + (1-confidence)*prior, confidence
}

// typicalLatency returns the average latency of the answers of all targets, or 0 before the first answer.
func (p *samplingPolicy) typicalLatency() time.Duration {
	return time.Duration(p.service.typicalLatency.Load())
}

// scoreReportedLoad is the score of probing and reported: the estimated load in requests per slot.
func (p *samplingPolicy) scoreReportedLoad(s *targetState, now time.Duration) (float64, float64) {
	load, confidence := p.estimateLoad(s, now)
	return load / p.maxSlots, confidence
}

const (
	// reportWeight is the weight of the difference between the estimated load and the prior load. If reports had full
	// weight, all instances would follow the same reports: with reports that are 100 ms late, p99 in the model rises from
	// 44 ms to 280 ms at 75 % utilization. A quarter keeps nearly all of the benefit of timely reports.
	reportWeight = 0.25
	// maxReportGap limits that difference, in requests per slot, so that the instance's own observations outweigh it.
	maxReportGap = 1
)

// scoreCombined is the score of combined. It sums the reported load, the ages of this instance's requests in flight, which
// reveal a slow target before any report does, and the latency of recent answers.
func (p *samplingPolicy) scoreCombined(s *targetState, now time.Duration) (float64, float64) {
	load, confidence := p.estimateLoad(s, now)
	prior := p.priorLoad(s)
	gap := max(-maxReportGap, min(maxReportGap, (load-prior)/p.maxSlots))
	observed := (prior + p.inFlightAgeCost(s, now)) / p.maxSlots
	return observed + reportWeight*gap + p.slownessCost(s, now), confidence
}

// priorLoad returns the load that is assumed without a report: the mean load of the service plus the requests in flight
// from this instance.
func (p *samplingPolicy) priorLoad(s *targetState) float64 {
	return float64(p.service.meanLoad.Load())/loadScale + float64(s.inFlight.Load())
}

// requestAgeWeight is the cost, in requests, of a request in flight whose age equals the typical latency. Values from 1 to
// 3 differ little in the model; without this cost the tail latency of the combined policy grows by a fifth.
const requestAgeWeight = 2

// maxRequestAge limits the mean age of the requests in flight that counts, in typical latencies, so that a long-running
// request does not keep other requests away.
const maxRequestAge = 4

// inFlightAgeCost returns the cost of the ages of this instance's requests in flight, in requests.
func (p *samplingPolicy) inFlightAgeCost(s *targetState, now time.Duration) float64 {
	typical := float64(p.typicalLatency())
	if typical <= 0 {
		return 0
	}
	ages := float64(s.totalInFlightAge(now)) / typical
	return requestAgeWeight * min(ages, maxRequestAge*float64(s.inFlight.Load()))
}

// localCost returns the cost of a target, in requests, from this instance's own observations only: its requests in flight,
// its failure rate and, for policies with usesLatency, the ages of these requests and the latency of recent answers.
func (p *samplingPolicy) localCost(target int, now time.Duration) float64 {
	s := p.targets[target]
	cost := float64(s.inFlight.Load()) + failureCost*s.failureRate(now)
	if p.spec.usesLatency {
		cost += p.inFlightAgeCost(s, now) + p.maxSlots*p.slownessCost(s, now)
	}
	return cost
}

const (
	// slowThreshold is the latency, in typical latencies, above which a target counts as slow. Latencies that include
	// waiting for a slot at high utilization stay below it.
	slowThreshold = 2
	// maxSlowRatio limits the latency that counts, in typical latencies, so that a single long answer has a limited
	// effect.
	maxSlowRatio = 10
	// slownessWeight is the cost of each typical latency above slowThreshold, in requests per slot.
	slownessWeight = 0.3
	// slownessHalfLife is the half-life of the slowness cost. The latency of a target that is avoided is not refreshed,
	// so the cost must decay. From 10 to 80 ms the tail latency in the model is the same within the spread of the runs.
	slownessHalfLife = 30 * time.Millisecond
)

// slownessCost returns the cost of a target whose recent answers were slow, in requests per slot. Without this cost, a slow
// target whose queue has drained reports no load and attracts requests.
func (p *samplingPolicy) slownessCost(s *targetState, now time.Duration) float64 {
	typical := float64(p.typicalLatency())
	if typical <= 0 {
		return 0
	}
	excess := min(maxSlowRatio, float64(s.latency.Load())/typical) - slowThreshold
	if excess <= 0 {
		return 0
	}
	age := time.Duration(int64(now) - s.latencyUpdatedAt.Load())
	return slownessWeight * excess * math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// TwoChoices builds policies that draw two targets at random and pick the one with fewer requests in flight from this
// instance. It needs no settings, so tests of other packages use it as a simple policy.
type TwoChoices struct{}

// Name implements Builder.
func (TwoChoices) Name() string { return NameTwoChoices }

// Build implements Builder.
func (TwoChoices) Build(config Config, previous Policy) Policy {
	return twoChoices.Build(config, previous)
}
