package dispatch

import (
	"slices"
	"time"
)

// choose returns the best target, and the best of those with a free slot. The lock is held.
func (p *Pool) choose(a *Request, now time.Duration, work time.Duration) (best, open estimate, inputs Inputs) {
	o := outlook{
		work: work, crossing: p.crossing(a), left: a.Arrived + a.Objective - now, meanPace: p.meanPace, blindUntil: p.blindUntil,
	}
	var unreachable estimate
	p.cheapest = [2]estimate{}
	for _, t := range p.candidates() {
		if t.forbids(now) || slices.Contains(a.Excluded, t) {
			continue
		}
		inputs.Candidates++
		e := t.estimate(now, a, o, &p.policy)
		e.cost += time.Duration(p.random.Int64N(int64(work)/tieShare + 1))
		if !t.connected(now, &p.policy) {
			e.cost += work / tieShare
		}
		if now < t.unreachableUntil {
			if unreachable.target == nil || t.unreachableUntil < unreachable.target.unreachableUntil {
				unreachable = e
			}
			continue
		}
		p.noteCheap(e)
		inputs.usable += e.usable
		inputs.filled += min(e.occupied, e.usable)
		if best.target == nil || e.cost < best.cost {
			best = e
		}
		if e.open {
			inputs.Available++
			if open.target == nil || e.cost < open.cost {
				open = e
			}
		}
	}
	if best.target == nil {
		best = unreachable
		if unreachable.open {
			open = unreachable
		}
	}
	return best, open, inputs
}

// noteCheap keeps the two cheapest estimates of a decision. The lock is held.
func (p *Pool) noteCheap(e estimate) {
	switch {
	case p.cheapest[0].target == nil || e.cost < p.cheapest[0].cost:
		p.cheapest[0], p.cheapest[1] = e, p.cheapest[0]
	case p.cheapest[1].target == nil || e.cost < p.cheapest[1].cost:
		p.cheapest[1] = e
	}
}

// other describes the cheapest target of the last decision that was not chosen. The lock is held.
func (p *Pool) other(chosen estimate, now time.Duration) Alternative {
	e := p.cheapest[0]
	if e.target == chosen.target {
		e = p.cheapest[1]
	}
	if e.target == nil {
		return Alternative{}
	}
	return Alternative{
		Target: e.target.ID, InFlight: e.occupied, Slowdown: e.pace, ReportAge: e.target.readingAge(now), ExpectedLatency: e.answer,
		ExtraCost: e.cost - chosen.cost,
	}
}

// headBytes is the usual size of the heads of a request and its answer.
const headBytes = 700

// crossing is the cost of sending a request to another zone, by the bytes that the exchange is expected to carry. It is at
// most the latency objective: a late answer costs the caller more than any bytes.
func (p *Pool) crossing(a *Request) time.Duration {
	bytes := headBytes + float64(a.RequestBytes) + p.workOf(a).bytes
	return time.Duration(float64(a.Objective) * min(p.policy.CrossZoneCost*bytes/1024, 1))
}

// candidates returns the targets to choose from. In a large fleet many instances choose at the same time by readings of
// the same age, and would all send to the few best ones. Each then looks at a random part of the targets, those of its own
// zone first. The lock is held.
func (p *Pool) candidates() []*Target {
	if p.locals <= wholeZone {
		return p.targets
	}
	p.drawn = p.drawn[:0]
	p.draw(p.targets[:p.locals], max(leastDrawn, p.locals/drawnShare))
	p.draw(p.targets[p.locals:], leastDrawn)
	for _, t := range p.used {
		if !slices.Contains(p.drawn, t) {
			p.drawn = append(p.drawn, t)
		}
	}
	return p.drawn
}

// noteUsed remembers a target of the own zone to which this instance keeps a connection, unless it has left meanwhile. The lock
// is held.
func (p *Pool) noteUsed(t *Target, now time.Duration) {
	t.usedAt = now
	if p.locals <= wholeZone || !t.local || p.byID[t.ID] != t || slices.Contains(p.used, t) {
		return
	}
	if len(p.used) < leastDrawn {
		p.used = append(p.used, t)
		return
	}
	oldest := 0
	for i, other := range p.used {
		if other.usedAt < p.used[oldest].usedAt {
			oldest = i
		}
	}
	p.used[oldest] = t
}

const (
	// wholeZone is the number of targets of the own zone up to which all targets are looked at.
	wholeZone = 16
	// leastDrawn and drawnShare say how many targets are looked at otherwise: at least so many, or that part of the zone.
	leastDrawn = 8
	drawnShare = 16
)

// draw adds targets at random, none of them twice. The lock is held.
func (p *Pool) draw(from []*Target, count int) {
	if len(from) == 0 {
		return
	}
	count = min(count, len(from))
	// Consecutive targets from a random one on are a random part, because the order of ids tells nothing.
	for i, start := 0, p.random.IntN(len(from)); i < count; i++ {
		p.drawn = append(p.drawn, from[(start+i)%len(from)])
	}
}

// tieShare is the part of the work by which the cost of targets is varied at random, so that instances with the same
// readings do not all choose the same target. A target to which no connection is open costs as much more: among equal ones
// those are chosen that need no handshake, which in a large fleet with few requests an instance are other ones for each.
const tieShare = 10
