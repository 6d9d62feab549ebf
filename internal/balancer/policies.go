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

var twoChoices = &kind{name: NameTwoChoices, draws: 2, score: (*engine).ownInFlight}

var registered = []Builder{
	&kind{name: NameRandom, draws: 1},
	&kind{name: NameRoundRobin, draws: 1, rotate: true},
	twoChoices,
	&kind{name: NameProbing, draws: 4, probes: true, score: (*engine).reportedLoad},
	&kind{name: NameLatencyWeighted, draws: 2, score: (*engine).latencyTimesInFlight},
	&kind{name: NameReported, draws: 4, answers: true, score: (*engine).reportedLoad},
	&kind{name: NameCombined, draws: 6, spills: 6, ages: true, probes: true, answers: true, prefers: true, score: (*engine).combined},
}

// Builders returns the registered builders. The slice must not be modified.
func Builders() []Builder { return registered }

// Find returns the builder of a name.
func Find(name string) (Builder, bool) {
	for _, b := range registered {
		if b.Name() == name {
			return b, true
		}
	}
	return nil, false
}

// UnknownPolicyError reports a name under which no policy is registered.
type UnknownPolicyError struct{ Name string }

func (e *UnknownPolicyError) Error() string {
	return "no policy is registered as " + strconv.Quote(e.Name)
}

// Names returns the names of the registered policies.
func Names() []string {
	names := make([]string, len(registered))
	for i, b := range registered {
		names[i] = b.Name()
	}
	return names
}

func (p *engine) ownInFlight(c *cell, _ time.Duration) (float64, float64) {
	return float64(c.own.Load()), 0
}

func (p *engine) latencyTimesInFlight(c *cell, _ time.Duration) (float64, float64) {
	return float64(c.latency.Load()) * float64(c.own.Load()+1), 0
}

const (
	// reportFresh is the age up to which a report counts in full, and the half-life of its weight beyond. The load of
	// targets shifts within milliseconds: in the model, with reports that count for 20 ms and more, instances follow
	// the same outdated reports, and more probes make the tail longer.
	reportFresh = 5 * time.Millisecond
	// reportExpiry is the age at which a report is of no use.
	reportExpiry = 50 * time.Millisecond
	// maxReportUses is how many choices a report may decide.
	maxReportUses = 16
)

// estimate returns the load of a target and how far it is known: its report, corrected by what this instance has
// sent since, and with growing age the mean load of the service instead.
func (p *engine) estimate(c *cell, now time.Duration) (load, known float64) {
	own := float64(c.own.Load())
	prior := p.prior(c)
	at := c.reportAt.Load()
	age := time.Duration(int64(now) - at)
	if at == 0 || age >= reportExpiry || c.reportUses.Load() >= maxReportUses {
		return prior, 0
	}
	corrected := max(own, float64(c.reportBase.Load())+own)
	if age <= reportFresh {
		return corrected, 1
	}
	known = math.Exp2(-float64(age-reportFresh) / float64(reportFresh))
	return known*corrected + (1-known)*prior, known
}

// typical returns the smoothed latency of answers over all targets.
func (p *engine) typical() time.Duration { return time.Duration(p.shared.latency.Load()) }

func (p *engine) reportedLoad(c *cell, now time.Duration) (float64, float64) {
	load, known := p.estimate(c, now)
	return load / p.slots, known
}

const (
	// reportWeight is the weight of the difference between a report and the mean load. Instances that trust reports in
	// full all follow them; when reports are 100 ms late, that takes p99 in the model from 44 to 280 ms at 75 %
	// utilisation. A quarter keeps nearly all of the gain of reports that are in time.
	reportWeight = 0.25
	// maxReportGap bounds that difference, in requests per slot, so that what the instance sees itself outweighs it.
	maxReportGap = 1
)

// combined weighs the reported load, the age of this instance's requests in flight, which shows a slow target before
// any report does, and the latency of the last answers.
func (p *engine) combined(c *cell, now time.Duration) (float64, float64) {
	load, known := p.estimate(c, now)
	prior := p.prior(c)
	gap := max(-maxReportGap, min(maxReportGap, (load-prior)/p.slots))
	own := (prior + p.overdue(c, now)) / p.slots
	return own + reportWeight*gap + p.slowness(c, now), known
}

// prior is the load that is assumed without a report: the mean, and what this instance has in flight.
func (p *engine) prior(c *cell) float64 {
	return float64(p.shared.load.Load())/loadUnit + float64(c.own.Load())
}

// overdueWeight is the cost of a request in flight that is as old as a typical answer, in requests. Values from 1 to
// 3 differ little in the model; without it the tail of the combined policy grows by a fifth.
const overdueWeight = 2

// maxAges bounds what one request in flight counts, so that a long summary does not keep other requests away.
const maxAges = 4

// overdue counts each request in flight from this instance by its age in typical latencies.
func (p *engine) overdue(c *cell, now time.Duration) float64 {
	typical := float64(p.typical())
	if typical <= 0 {
		return 0
	}
	ages := float64(c.outstanding(now)) / typical
	return overdueWeight * min(ages, maxAges*float64(c.own.Load()))
}

// ownCost is what this instance knows of a target without any report: its requests in flight, and for the combined
// policy their ages and the latency of the last answers, which are evidence of its own.
func (p *engine) ownCost(target int, now time.Duration) float64 {
	c := p.cells[target]
	cost := float64(c.own.Load()) + refusalCost*c.refusalShare(now)
	if p.kind.ages {
		cost += p.overdue(c, now) + p.slots*p.slowness(c, now)
	}
	return cost
}

const (
	// slowFrom is the latency, in typical latencies, from which a target counts as slow. Waiting for a slot at high
	// utilisation stays below.
	slowFrom = 2
	// maxSlow bounds what a single long answer counts.
	maxSlow = 10
	// slowWeight is the cost of each further typical latency, in requests per slot.
	slowWeight = 0.3
	// slowHalfLife is how fast a slow answer is forgotten. The latency of an avoided target is not refreshed, so
	// it must fade. From 10 to 80 ms the tail in the model is the same within the spread.
	slowHalfLife = 30 * time.Millisecond
)

// slowness is the cost of a target whose last answers were slow. Without it a slow target whose queue has drained
// reports an idle state and attracts requests.
func (p *engine) slowness(c *cell, now time.Duration) float64 {
	typical := float64(p.typical())
	if typical <= 0 {
		return 0
	}
	excess := min(maxSlow, float64(c.latency.Load())/typical) - slowFrom
	if excess <= 0 {
		return 0
	}
	age := time.Duration(int64(now) - c.latencyAt.Load())
	return slowWeight * excess * math.Exp2(-float64(age)/float64(slowHalfLife))
}

// TwoChoices builds policies that draw two targets at random and take the one with fewer requests in flight from
// this instance. It needs no settings and serves as the plain policy in tests of other packages.
type TwoChoices struct{}

// Name implements Builder.
func (TwoChoices) Name() string { return NameTwoChoices }

// Build implements Builder.
func (TwoChoices) Build(config Config, previous Policy) Policy {
	return twoChoices.Build(config, previous)
}
