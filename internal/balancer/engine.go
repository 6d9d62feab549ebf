package balancer

import (
	"sync"
	"sync/atomic"
	"time"
)

// kind is what distinguishes the policies that share the engine.
type kind struct {
	name string
	// draws is the number of candidates that a choice compares.
	draws int
	// spills is the number of further candidates from all targets while the best one so far has no free slot.
	spills int
	// probes and answers say which load reports the policy uses.
	probes, answers bool
	// score returns the cost of sending a request to a target, the lowest of which wins, and how far the load of
	// the target is known.
	score func(p *engine, c *cell, now time.Duration) (cost, known float64)
	// ages says that the policy uses the ages of requests in flight and the latency of answers.
	ages bool
	// prefers limits the targets that an instance uses first.
	prefers bool
	// rotate takes targets in turn instead of at random.
	rotate bool
}

func (k *kind) reports() bool { return k.probes || k.answers }

// Name implements Builder.
func (k *kind) Name() string { return k.name }

// Build implements Builder.
func (k *kind) Build(config Config, previous Policy) Policy {
	p := &engine{
		kind:  k,
		index: make(map[string]int, len(config.Targets)),
		cells: make([]*cell, len(config.Targets)),
		slots: 1,
	}
	old, _ := previous.(*engine)
	p.adopt(config, old)
	p.members = rank(config)
	p.prefer(config)
	return p
}

// engine is a policy that draws a few candidates and takes the one with the lowest score.
type engine struct {
	kind  *kind
	index map[string]int
	cells []*cell
	slots float64
	// distance is the cost of each target that comes from its place alone.
	distance []float64
	// members are the targets in the order in which this instance uses them, and preferred those that it uses first.
	members   []int
	preferred []int
	turn      atomic.Uint64
	shared    *shared
}

// shared is what an instance knows about the service as a whole. It outlives rebuilds of the policy.
type shared struct {
	// load is the smoothed load report over all targets, in thousandths of a request.
	load atomic.Int64
	// latency is the smoothed latency of answers over all targets in nanoseconds.
	latency atomic.Int64
	// ejecting is held while a target is ejected, so that the limit on ejected targets holds.
	ejecting sync.Mutex
}

// adopt takes over the cells of targets that stay. Targets that join a service which is already served start cold.
func (p *engine) adopt(config Config, old *engine) {
	p.shared = &shared{}
	if old != nil {
		p.shared = old.shared
	}
	for i, target := range config.Targets {
		p.index[target.Address] = i
		p.slots = max(p.slots, float64(target.Slots))
		p.cells[i] = &cell{}
		if old == nil {
			continue
		}
		if at, ok := old.index[target.Address]; ok {
			p.cells[i] = old.cells[at]
			continue
		}
		p.cells[i].join()
	}
}

// Pick implements Policy.
func (p *engine) Pick(req Request) (int, bool) {
	d := drawing{p: p, req: &req, state: req.Random}
	first, ok := d.next(0)
	if !ok || p.kind.draws < 2 {
		return first, ok
	}
	best := p.judge(first, &req)
	known := best.known
	for k := 1; k < p.kind.draws || k < p.kind.draws+p.kind.spills && best.cost > spillCost; k++ {
		target, _ := d.next(k)
		other := p.judge(target, &req)
		known = max(known, other.known)
		if other.cost < best.cost {
			best = other
		}
	}
	if p.kind.reports() && known <= 0 {
		return d.fallback(first), true
	}
	p.cells[best.target].reportUses.Add(1)
	return best.target, true
}

// candidate is a target that a choice compares.
type candidate struct {
	target int
	cost   float64
	// known is how far the load of the target is known, from 0 to 1.
	known float64
}

const (
	// refusalCost is the cost of a target that refuses everything, in requests per slot.
	refusalCost = 20
	// retryCost is the cost of a preferred target for a retry. A lost availability zone takes the preferred targets
	// away together, so a retry goes elsewhere.
	retryCost = 2
	// spillCost is the cost of a target whose slots are all taken.
	spillCost = 1
)

func (p *engine) judge(target int, req *Request) candidate {
	c := p.cells[target]
	cost, known := p.kind.score(p, c, req.Now)
	cost += refusalCost * c.refusalShare(req.Now)
	switch extra := p.distance[target]; {
	case extra > 0:
		cost += extra + (1-known)*unknownCost
	case len(req.Excluded) > 0:
		cost += retryCost
	}
	return candidate{target: target, cost: cost, known: known}
}

// Started implements Policy.
func (p *engine) Started(target int, now time.Duration) {
	c := p.cells[target]
	c.starts.Add(int64(now))
	c.own.Add(1)
}

// Finished implements Policy.
func (p *engine) Finished(target int, result Result) {
	c := p.cells[target]
	c.own.Add(-1)
	c.starts.Add(-int64(result.Now - result.Elapsed))
	switch result.Kind {
	case Answered:
		c.learnLatency(result.Elapsed, result.Now)
		p.learnTypical(result.Elapsed)
		if p.kind.answers && result.Load != NoLoadReport {
			c.report(result.Load, result.Now)
			smooth(&p.shared.load, int64(result.Load)*loadUnit)
		}
		p.succeeded(c, result.Now)
	case Shed, Failed:
		p.failed(c, result.Now)
	}
}

// maxTypical bounds what one answer counts in the typical latency.
const maxTypical = 4

// learnTypical smooths the typical latency. A single answer counts as a few typical latencies at most, so that long
// summaries do not hide slow targets.
func (p *engine) learnTypical(latency time.Duration) {
	if typical := p.typical(); typical > 0 {
		latency = min(latency, maxTypical*typical)
	}
	smooth(&p.shared.latency, int64(latency))
}

// NextProbe implements Policy. It prefers the target of which least is known at present.
func (p *engine) NextProbe(now time.Duration, random uint64) (int, bool) {
	if !p.kind.probes || len(p.members) == 0 {
		return 0, false
	}
	best := -1
	list := p.preferred
	if below(&random, wideProbeEvery) == 0 {
		list = p.members
	}
	for range probeDraws {
		candidate := list[below(&random, len(list))]
		if best < 0 || p.cells[candidate].heardAt.Load() < p.cells[best].heardAt.Load() {
			best = candidate
		}
	}
	p.cells[best].heardAt.Store(int64(now))
	return best, true
}

// wideProbeEvery is how many probes there are to each one that may go to any target. The others go to preferred
// targets, because the choice of a request depends on those.
const wideProbeEvery = 4

// probeDraws is how many targets compete for the next probe.
const probeDraws = 4

// Probed implements Policy.
func (p *engine) Probed(target int, probe ProbeResult) {
	if !p.kind.probes {
		return
	}
	p.cells[target].report(probe.InFlight, probe.Now)
	smooth(&p.shared.load, int64(probe.InFlight)*loadUnit)
}

// loadUnit scales loads for smoothing in integers.
const loadUnit = 1000

// smoothShift sets the weight of one value in a service-wide average to 1/64.
const smoothShift = 6

// smooth moves an average towards a value. A lost update between goroutines only delays the average.
func smooth(average *atomic.Int64, value int64) {
	old := average.Load()
	if old == 0 {
		average.Store(value)
		return
	}
	average.Store(old + (value-old)>>smoothShift)
}
