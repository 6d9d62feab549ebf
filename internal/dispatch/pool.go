package dispatch

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
)

// Ask describes a request that needs a target. It must not change while it waits.
type Ask struct {
	// Route is the name under which the work of requests is learnt.
	Route     string
	Priority  int
	Objective time.Duration
	// Arrived is when the instance received the request, and Deadline when an answer is worth nothing any more.
	Arrived, Deadline time.Duration
	// RequestBytes is the size of the body.
	RequestBytes int
	// Tried holds the targets that the request was sent to already.
	Tried []*Target
}

// Decision is what became of an Ask.
type Decision struct {
	// Target receives the request. It is nil for a refusal.
	Target *Target
	// Refusal is the reason when no target may receive the request.
	Refusal *reason.Reason
	// RetryAfter is when the caller should come back after a refusal.
	RetryAfter time.Duration
	// Contended is true when the target is nearly full, so that others should know of the request.
	Contended bool
	// Inputs are kept for the log.
	Inputs Inputs
	// sent and pace describe the moment of the decision.
	sent time.Duration
	pace float64
}

// Inputs are the figures that decided.
type Inputs struct {
	Candidates, Open, Waiting int
	Occupied                  int
	Pace                      float64
	// ReadingAge is the age of the load reading, negative without one.
	ReadingAge time.Duration
	Expected   time.Duration
	Waited     time.Duration
}

// Pool decides for the targets of one service. It is safe for concurrent use.
type Pool struct {
	policy Policy
	zone   string
	// now is the monotonic time.
	now func() time.Duration

	mu sync.Mutex
	// targets are those of the own zone first, of which there are locals.
	targets []*Target
	locals  int
	// drawn holds the targets of one decision.
	drawn   []*Target
	byID    map[string]*Target
	work    map[string]*workEstimate
	waiting []*waiter
	// meanPace is the mean over the readings of all targets.
	meanPace float64
	// sharers is the number of instances that send to the same targets.
	sharers int
	retries retryBudget
	random  *rand.Rand
	// blindUntil is until when targets without a reading receive no requests.
	blindUntil time.Duration
	// serving is true while a look at the waiting requests is scheduled.
	serving bool
	// awaitingSight is true once a look at the end of the blind time is scheduled.
	awaitingSight bool
}

// NewPool returns a pool without targets for an instance in a zone.
func NewPool(policy Policy, zone string, now func() time.Duration, random *rand.Rand) *Pool {
	return &Pool{
		blindUntil: now() + blindTime,
		policy:     policy, zone: zone, now: now, random: random, sharers: 1, meanPace: usualPace,
		byID: map[string]*Target{}, work: map[string]*workEstimate{},
	}
}

type waiter struct {
	ask   *Ask
	ready chan Decision
}

// SetTargets replaces the registered targets. What is known of targets that stay is kept. The times of warming up are
// relative to wall.
func (p *Pool) SetTargets(targets []registry.Target, sharers int, wall time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.sharers = max(sharers, 1)
	byID := make(map[string]*Target, len(targets))
	p.targets = p.targets[:0]
	for _, r := range targets {
		t := p.byID[r.ID]
		if t == nil || t.Address != r.Address {
			t = newTarget(r, p.zone, 0)
		}
		t.warm = 0
		if r.WarmUntil.After(wall) {
			t.warm = now + r.WarmUntil.Sub(wall)
		}
		byID[r.ID] = t
		p.targets = append(p.targets, t)
	}
	for id, t := range p.byID {
		t.removed = byID[id] != t
	}
	slices.SortStableFunc(p.targets, func(a, b *Target) int { return zoneOrder(a) - zoneOrder(b) })
	p.locals = 0
	for _, t := range p.targets {
		p.locals += 1 - zoneOrder(t)
	}
	p.byID = byID
	p.serveWaiting(now)
}

// zoneOrder puts targets of the own zone before the others.
func zoneOrder(t *Target) int {
	if t.local {
		return 0
	}
	return 1
}

// Observe takes over readings of load by target id. Waiting requests are decided again.
func (p *Pool) Observe(readings map[string]Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, reading := range readings {
		if t := p.byID[id]; t != nil {
			t.take(reading)
			p.meanPace += paceGain * (reading.Pace - p.meanPace)
		}
	}
	p.serveSoon()
}

// serveJitter is the time over which instances spread their reaction to a reading. All of them see the same free slots at
// the same moment; those that look later know of the requests that the others sent.
const serveJitter = 4 * time.Millisecond

// serveSoon decides the waiting requests after a random pause. The lock is held.
func (p *Pool) serveSoon() {
	if len(p.waiting) == 0 || p.serving {
		return
	}
	if p.sharers == 1 {
		p.serveWaiting(p.now())
		return
	}
	p.serveAfter(time.Duration(p.random.Int64N(int64(serveJitter))))
}

// blindTime is how long after the start of an instance requests wait for the first reading of a target. When all
// instances start together, the requests that have piled up would fill the targets several times over.
const blindTime = 100 * time.Millisecond

// endBlindness lets the waiting requests be decided at the end of the blind time, when no reading has come. The lock is
// held.
func (p *Pool) endBlindness(now time.Duration) {
	if now < p.blindUntil && !p.awaitingSight && len(p.waiting) > 0 {
		p.awaitingSight = true
		time.AfterFunc(p.blindUntil-now, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.serveWaiting(p.now())
		})
	}
}

// serveAfter decides the waiting requests after a pause. The lock is held.
func (p *Pool) serveAfter(pause time.Duration) {
	p.serving = true
	time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serving = false
		p.serveWaiting(p.now())
	})
}

// paceGain is the weight of one reading in the mean pace. A service is read some hundred times a second.
const paceGain = 0.001

// Announced notes that another instance sent a request to a target.
func (p *Pool) Announced(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byID[id]; t != nil {
		t.note(p.now(), 1)
	}
}

// Unreachable notes that the health path of a target does not answer.
func (p *Pool) Unreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byID[id]; t != nil {
		t.noteUnreachable(p.now())
	}
}

// Acquire waits until a target may receive the request or the request is refused. Release must follow when a target was
// chosen.
func (p *Pool) Acquire(ctx context.Context, ask *Ask) Decision {
	p.mu.Lock()
	now := p.now()
	w := &waiter{ask: ask, ready: make(chan Decision, 1)}
	p.enqueue(w)
	p.serveWaiting(now)
	p.endBlindness(now)
	p.mu.Unlock()
	select {
	case d := <-w.ready:
		return d
	default:
	}
	timer := time.NewTimer(max(p.waitLimit(ask)-now, 0))
	defer timer.Stop()
	select {
	case d := <-w.ready:
		return d
	case <-timer.C:
		return p.decideLast(w)
	case <-ctx.Done():
		return p.abandon(w, reason.CallerLeftEarly)
	}
}

// decideLast decides a request that has waited as long as it may.
func (p *Pool) decideLast(w *waiter) Decision {
	p.mu.Lock()
	now := p.now()
	if i := slices.Index(p.waiting, w); i >= 0 {
		if d, decided := p.decide(w.ask, now, i); decided {
			w.ready <- d
		}
	}
	p.mu.Unlock()
	return p.abandon(w, reason.Overloaded)
}

// abandon withdraws a waiting request, unless it has been decided meanwhile.
func (p *Pool) abandon(w *waiter, why *reason.Reason) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w.ready:
		return d
	default:
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	return p.refuse(w.ask, why, p.now())
}

// enqueue keeps the waiting requests ordered by priority, then arrival. The lock is held.
func (p *Pool) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.ask.Priority != b.ask.Priority {
			return a.ask.Priority - b.ask.Priority
		}
		if a.ask.Arrived <= b.ask.Arrived {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
}

// serveWaiting decides the waiting requests in order. The lock is held.
func (p *Pool) serveWaiting(now time.Duration) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		d, decided := p.decide(w.ask, now, len(kept))
		if !decided {
			kept = append(kept, w)
			continue
		}
		w.ready <- d
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// waitLimit is when a request that still waits is refused: when its answer would come after its latency objective, and at
// the latest after its share of it.
func (p *Pool) waitLimit(a *Ask) time.Duration {
	work := p.workOf(a).estimate()
	span := float64(a.Objective)
	wait := min(span*p.policy.WaitShare, span-float64(work)*p.meanPaceOf(work))
	return min(a.Arrived+time.Duration(max(wait, span*leastWaitShare)), a.Deadline)
}

// leastWaitShare is the share of the latency objective that every request may wait for a slot.
const leastWaitShare = 0.1

// meanPaceOf is the expected pace of work on a target that was chosen for a good reading.
func (p *Pool) meanPaceOf(work time.Duration) float64 {
	span := float64(work) / float64(paceMemory)
	return p.meanPace + (1-p.meanPace)*(1-math.Exp(-span))/span
}

// decide chooses a target, refuses, or reports false when the request has to wait behind ahead others. The lock is held.
func (p *Pool) decide(a *Ask, now time.Duration, ahead int) (Decision, bool) {
	work := p.workOf(a).estimate()
	best, open, inputs := p.choose(a, now, work)
	inputs.Waiting = ahead
	switch {
	case now >= a.Deadline:
		return p.refuse(a, reason.DeadlineTooShort, now), true
	case best.target == nil:
		return p.refuse(a, reason.NoTarget, now), true
	case open.target != nil && (open.cost <= best.cost || now >= p.waitLimit(a)):
		return p.send(open, a, now, inputs), true
	case now >= p.waitLimit(a):
		return p.refuse(a, reason.Overloaded, now), true
	}
	wait := time.Duration(float64(ahead+1) / p.throughput(now, work))
	if now < p.blindUntil && open.target == nil {
		return Decision{}, false
	}
	if open.target != nil && wait+best.cost > open.cost {
		return p.send(open, a, now, inputs), true
	}
	if now+wait > p.waitLimit(a) {
		return p.refuse(a, reason.Overloaded, now), true
	}
	return Decision{}, false
}

// choose returns the best target, and the best of those with a free slot. The lock is held.
func (p *Pool) choose(a *Ask, now time.Duration, work time.Duration) (best, open estimate, inputs Inputs) {
	o := outlook{work: work, crossing: p.crossing(a), meanPace: p.meanPace, blindUntil: p.blindUntil}
	var unreachable estimate
	for _, t := range p.candidates() {
		if slices.Contains(a.Tried, t) {
			continue
		}
		inputs.Candidates++
		e := t.estimate(now, a, o, &p.policy)
		e.cost += time.Duration(p.random.Int64N(int64(work)/tieShare + 1))
		if now < t.unreachableUntil {
			if unreachable.target == nil || t.unreachableUntil < unreachable.target.unreachableUntil {
				unreachable = e
			}
			continue
		}
		if best.target == nil || e.cost < best.cost {
			best = e
		}
		if e.open {
			inputs.Open++
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

// headBytes is the usual size of the heads of a request and its answer.
const headBytes = 700

// crossing is the cost of sending a request to another zone, by the bytes that the exchange is expected to carry.
func (p *Pool) crossing(a *Ask) time.Duration {
	bytes := headBytes + float64(a.RequestBytes) + p.workOf(a).bytes
	return time.Duration(float64(p.policy.ZoneCrossing) * bytes / 1024)
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
	return p.drawn
}

const (
	// wholeZone is the number of targets of the own zone up to which all targets are looked at.
	wholeZone = 16
	// leastDrawn and drawnShare say how many targets are looked at otherwise: at least so many, or that part of the zone.
	leastDrawn = 3
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
// readings do not all choose the same target.
const tieShare = 10

// send assigns the request to a target. The lock is held.
func (p *Pool) send(e estimate, a *Ask, now time.Duration, inputs Inputs) Decision {
	t := e.target
	inputs.Occupied = t.occupied(now, &p.policy)
	inputs.Pace = e.pace
	inputs.ReadingAge = -1
	if t.read {
		inputs.ReadingAge = now - t.reading.At
	}
	inputs.Expected = e.answer
	inputs.Waited = now - a.Arrived
	t.own++
	t.note(now, 1)
	contended := inputs.Occupied+contendedMargin >= t.usable(&p.policy)
	return Decision{Target: t, Contended: contended, Inputs: inputs, sent: now, pace: inputs.Pace}
}

// contendedMargin is how many usable slots may be left when a target counts as nearly full.
const contendedMargin = 2

// refuse returns a refusal with the time after which room is expected. The lock is held.
func (p *Pool) refuse(a *Ask, why *reason.Reason, now time.Duration) Decision {
	work := p.workOf(a).estimate()
	after := minRetryAfter
	if throughput := p.throughput(now, work); throughput > 0 {
		after += time.Duration(float64(len(p.waiting)) / throughput)
	}
	// The spread keeps refused callers from coming back together.
	after += time.Duration(p.random.Int64N(int64(after)))
	return Decision{
		Refusal: why, RetryAfter: min(after, maxRetryAfter),
		Inputs: Inputs{Candidates: len(p.targets), Waiting: len(p.waiting), Waited: now - a.Arrived, ReadingAge: -1},
	}
}

const (
	// minRetryAfter is the least time after which a refused caller should come back.
	minRetryAfter = 60 * time.Millisecond
	// maxRetryAfter keeps callers from waiting longer than a burst usually lasts.
	maxRetryAfter = 2 * time.Second
)

// throughput estimates the requests that this instance's share of the targets completes per nanosecond. The lock is held.
func (p *Pool) throughput(now time.Duration, work time.Duration) float64 {
	total := 0.0
	for _, t := range p.targets {
		if now >= t.unreachableUntil {
			total += float64(t.usable(&p.policy)) / (float64(work) * t.pace(now, work, p.meanPace, &p.policy))
		}
	}
	return total / float64(p.sharers)
}
