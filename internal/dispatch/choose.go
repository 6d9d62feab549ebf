package dispatch

import (
	"slices"
	"time"
)

// choose returns the cheapest target, and the cheapest one with a free slot. If all candidates are unreachable, it returns
// the one that is skipped for the shortest time. The caller holds p.mu.
func (p *Pool) choose(r *Request, now time.Duration, serviceTime time.Duration) (best, available estimate, inputs Inputs) {
	c := decisionContext{
		serviceTime: serviceTime, crossZoneCost: p.crossZoneCost(r), remaining: r.Arrived + r.Objective - now,
		meanSlowdown: p.meanSlowdown, firstReportDeadline: p.firstReportDeadline,
	}
	best, available, inputs = p.chooseFrom(p.sampleCandidates(), r, now, c)
	if best.target == nil && inputs.cold.skipped() {
		// A target without need of a credit may be outside the sample.
		best, available, inputs = p.chooseFrom(p.targets, r, now, c)
	}
	return best, available, inputs
}

// chooseFrom chooses from some targets. The caller holds p.mu.
func (p *Pool) chooseFrom(targets []*Target, r *Request, now time.Duration, c decisionContext) (best, available estimate, inputs Inputs) {
	serviceTime := c.serviceTime
	var unreachable estimate
	p.cheapest = [2]estimate{}
	for _, t := range targets {
		if t.blocked(now) || slices.Contains(r.Excluded, t) {
			continue
		}
		if p.limitsCold(t, now) && !inputs.cold.mayAsk(t, now) {
			continue
		}
		inputs.Candidates++
		e := t.estimate(now, r, c, &p.policy)
		e.cost += time.Duration(p.random.Int64N(int64(serviceTime)/tieBreakDivisor + 1))
		if !t.hasIdleConnection(now, &p.policy) {
			e.cost += serviceTime / tieBreakDivisor
		}
		if now < t.unreachableUntil {
			if unreachable.target == nil || t.unreachableUntil < unreachable.target.unreachableUntil {
				unreachable = e
			}
			continue
		}
		p.trackCheapest(e)
		inputs.usableSlots += e.usableSlots
		inputs.usedSlots += min(e.inFlight, e.usableSlots)
		if best.target == nil || e.cost < best.cost {
			best = e
		}
		if e.available {
			inputs.Available++
			if available.target == nil || e.cost < available.cost {
				available = e
			}
		}
	}
	if best.target == nil {
		best = unreachable
		if unreachable.available {
			available = unreachable
		}
	}
	return best, available, inputs
}

// trackCheapest keeps the two cheapest estimates of a decision in p.cheapest. The caller holds p.mu.
func (p *Pool) trackCheapest(e estimate) {
	switch {
	case p.cheapest[0].target == nil || e.cost < p.cheapest[0].cost:
		p.cheapest[0], p.cheapest[1] = e, p.cheapest[0]
	case p.cheapest[1].target == nil || e.cost < p.cheapest[1].cost:
		p.cheapest[1] = e
	}
}

// alternative describes the cheapest target of the last decision that was not chosen. The caller holds p.mu.
func (p *Pool) alternative(chosen estimate, now time.Duration) Alternative {
	e := p.cheapest[0]
	if e.target == chosen.target {
		e = p.cheapest[1]
	}
	if e.target == nil {
		return Alternative{}
	}
	return Alternative{
		Target: e.target.ID, InFlight: e.inFlight, Slowdown: e.slowdown, ReportAge: e.target.reportAge(now), ExpectedLatency: e.latency,
		ExtraCost: e.cost - chosen.cost,
	}
}

// typicalHeaderBytes is the usual size of the headers of a request and its answer together.
const typicalHeaderBytes = 700

// crossZoneCost returns the cost of sending a request to another zone, based on the expected size of the exchange. It
// is at most the latency objective, because a late answer costs the caller more than any number of bytes.
func (p *Pool) crossZoneCost(r *Request) time.Duration {
	bytes := typicalHeaderBytes + float64(r.RequestBytes) + p.routeEstimateOf(r).answerBytes
	return time.Duration(float64(r.Objective) * min(p.policy.CrossZoneCost*bytes/1024, 1))
}

// sampleCandidates returns the targets to choose from. In a large fleet many instances choose at the same time from load
// reports of the same age, and would all send to the few best targets. To prevent that, each decision in a large zone
// considers a random sample of the targets of its own zone and of the others, plus the recently used targets of its own
// zone. So does each decision of a zone without targets. The caller holds p.mu.
func (p *Pool) sampleCandidates() []*Target {
	p.sampled = p.sampled[:0]
	switch {
	case p.localCount > fullScanLimit:
		p.sample(p.targets[:p.localCount], max(minSampled, p.localCount/sampleDivisor))
		p.sample(p.targets[p.localCount:], minSampled)
	case p.hasOnlyManyRemote():
		p.sample(p.targets, max(minSampled, len(p.targets)/sampleDivisor))
	default:
		return p.targets
	}
	for _, t := range p.recentlyUsed {
		if !slices.Contains(p.sampled, t) {
			p.sampled = append(p.sampled, t)
		}
	}
	return p.sampled
}

// hasOnlyManyRemote reports whether there are no targets in the own zone, for example because it is evacuated, and many in others. All
// instances of the zone would choose the few best of them. The caller holds p.mu.
func (p *Pool) hasOnlyManyRemote() bool { return p.localCount == 0 && len(p.targets) > fullScanLimit }

// recordUse remembers a target to which this instance keeps a connection, unless the target has been deregistered meanwhile. If its
// own zone has many targets, it remembers only those. The caller holds p.mu.
func (p *Pool) recordUse(t *Target, now time.Duration) {
	t.lastUsed = now
	samples := p.localCount > fullScanLimit && t.local || p.hasOnlyManyRemote()
	if !samples || p.byID[t.ID] != t || slices.Contains(p.recentlyUsed, t) {
		return
	}
	if len(p.recentlyUsed) < minSampled {
		p.recentlyUsed = append(p.recentlyUsed, t)
		return
	}
	oldest := 0
	for i, other := range p.recentlyUsed {
		if other.lastUsed < p.recentlyUsed[oldest].lastUsed {
			oldest = i
		}
	}
	p.recentlyUsed[oldest] = t
}

const (
	// fullScanLimit is the largest number of targets in the own zone for which a decision considers all targets.
	fullScanLimit = 16
	// minSampled is the least number of targets to sample in larger zones, and the number of recently used targets that
	// are remembered. From the own zone, 1/sampleDivisor of the targets is sampled if that is more.
	minSampled    = 8
	sampleDivisor = 16
)

// sample adds up to count distinct random targets to p.sampled. The caller holds p.mu.
func (p *Pool) sample(from []*Target, count int) {
	if len(from) == 0 {
		return
	}
	count = min(count, len(from))
	// A run of consecutive targets from a random start is a random sample, because their order depends only on the ids.
	for i, start := 0, p.random.IntN(len(from)); i < count; i++ {
		p.sampled = append(p.sampled, from[(start+i)%len(from)])
	}
}

// tieBreakDivisor sets the tie-breaking costs to a fraction of the service time. Each cost gets a random amount of up to
// that fraction, so that instances with the same load reports do not all choose the same target. A target without an idle
// connection costs the whole fraction more, so that among equal targets those are preferred that need no handshake. In a
// large fleet with few requests per instance, different instances have idle connections to different targets.
const tieBreakDivisor = 10
