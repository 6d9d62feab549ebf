package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
)

// Ask describes a request that needs a target. It must not change while it waits.
type Request struct {
	// Route is the name under which the work of requests is learnt.
	Route     string
	Priority  int
	Objective time.Duration
	// Arrived is when the instance received the request, and Deadline when an answer is worth nothing any more.
	Arrived, Deadline time.Duration
	// RequestBytes is the size of the body.
	RequestBytes int
	// Tried holds the targets that the request was sent to already.
	Excluded []*Target
}

// Decision is what became of an Ask.
type Decision struct {
	// Target receives the request. It is nil for a refusal.
	Target *Target
	// Refusal is the reason when no target may receive the request.
	Refusal *reason.Reason
	// RetryAfter is when the caller should come back after a refusal.
	RetryAfter time.Duration
	// Inputs are kept for the log.
	Inputs Inputs
	// sent and pace describe the moment of the decision.
	sent time.Duration
	pace float64
	// claim is set when the request is announced before it is sent.
	claim *claim
}

// At is when the request was to be sent.
func (d Decision) SentAt() time.Duration { return d.sent }

// Inputs are the figures that decided.
type Inputs struct {
	Candidates, Available, Waiting int
	// filled and usable are the taken and all usable slots of the candidates.
	filled, usable int
	InFlight       int
	Slowdown       float64
	// ReadingAge is the age of the load reading, negative without one.
	ReportAge       time.Duration
	ExpectedLatency time.Duration
	// Other is the best of the other candidates.
	Alternative Alternative
	// Denied is how many claims of targets were denied before.
	DeniedClaims int
	Waited       time.Duration
}

// Alternative is a target that was not chosen, with what spoke against it.
type Alternative struct {
	// Target is the id, empty without another candidate.
	Target   string
	InFlight int
	Slowdown float64
	// ReadingAge is the age of the load reading, negative without one.
	ReportAge       time.Duration
	ExpectedLatency time.Duration
	// Behind is how much more the target cost than the chosen one. It is more than the difference of the expected times for
	// a target of another zone, one that failed requests lately, and one without an open connection.
	ExtraCost time.Duration
}

// Pool decides for the targets of one service. It is safe for concurrent use.
type Pool struct {
	// Claim announces a request that is about to be sent to a target. It reports whether a denial may follow. It is set
	// before the first request, and nil where nobody is told.
	SendClaim func(target string, number uint32) bool
	policy    Policy
	zone      string
	// now is the monotonic time.
	now func() time.Duration

	mu sync.Mutex
	// targets are those of the own zone first, of which there are locals.
	targets []*Target
	locals  int
	// cheapest are the two cheapest targets of one decision, for the log.
	cheapest [2]estimate
	// drawn holds the targets of one decision.
	drawn []*Target
	// used are targets of a large own zone that received requests of this instance last.
	used    []*Target
	byID    map[string]*Target
	work    map[string]*workEstimate
	waiting []*waiter
	// meanPace is the mean over the readings of all targets.
	meanPace float64
	// sharers is the number of instances that send to the same targets, and sharersKnown is false while it is a guess.
	sharers      int
	sharersKnown bool
	retries      retryBudget
	random       *rand.Rand
	// blindUntil is until when targets without a reading receive no requests.
	blindUntil time.Duration
	// restrictions are what incarnations of targets asked of this instance.
	restrictions map[string]restriction
	// serving is true while a look at the waiting requests is scheduled.
	serving bool
	// awaitingSight is true once a look at the end of the blind time is scheduled.
	awaitingSight bool
}

// NewPool returns a pool without targets for an instance in a zone.
func NewPool(policy Policy, zone string, now func() time.Duration, random *rand.Rand) *Pool {
	return &Pool{
		blindUntil: now() + blindTime,
		policy:     policy, zone: zone, now: now, random: random, sharers: 1, sharersKnown: true, meanPace: usualPace,
		byID: map[string]*Target{}, work: map[string]*workEstimate{}, restrictions: map[string]restriction{},
	}
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
		if t == nil || !t.is(r) {
			t = newTarget(r, p.zone, 0)
			p.recall(t)
		}
		t.slots, t.warm = max(r.Slots, 1), 0
		if r.WarmUntil.After(wall) {
			t.warm = now + r.WarmUntil.Sub(wall)
		}
		byID[r.ID] = t
		p.targets = append(p.targets, t)
	}
	slices.SortStableFunc(p.targets, func(a, b *Target) int { return zoneOrder(a) - zoneOrder(b) })
	p.locals = 0
	for _, t := range p.targets {
		p.locals += 1 - zoneOrder(t)
	}
	p.byID = byID
	if len(p.restrictions) > 0 {
		p.forgetRestrictions(now)
	}
	p.used = slices.DeleteFunc(p.used, func(t *Target) bool { return byID[t.ID] != t })
	p.serveWaiting(now)
}

// zoneOrder puts targets of the own zone before the others.
func zoneOrder(t *Target) int {
	if t.local {
		return 0
	}
	return 1
}

// Observation is the reading of one target.
type TargetLoad struct {
	Target *Target
	LoadReport
}

// Target returns a registered target, or nil. It stays the same as long as the incarnation is registered at its address.
func (p *Pool) Target(id string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// AliveAt returns when a target last told its load, 0 if it did not.
func (p *Pool) LastSeen(t *Target) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t == nil || !t.read {
		return 0
	}
	return t.reading.ReceivedAt
}

// Observe takes over readings of load. Waiting requests are decided again.
func (p *Pool) UpdateLoad(readings []TargetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range readings {
		o.Target.take(o.LoadReport)
		p.meanPace += paceGain * (o.Slowdown - p.meanPace)
	}
	p.serveSoon()
}

// paceGain is the weight of one reading in the mean pace. A service is read some hundred times a second.
const paceGain = 0.001

// Unreachable notes that the health path of a target does not answer.
func (p *Pool) MarkUnreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byID[id]; t != nil {
		t.noteUnreachable(p.now())
	}
}

// decide chooses a target, refuses, or reports false when the request has to wait behind ahead others. The lock is held.
func (p *Pool) decide(a *Request, now time.Duration, ahead int) (Decision, bool) {
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

// send assigns the request to a target. The lock is held.
func (p *Pool) send(e estimate, a *Request, now time.Duration, inputs Inputs) Decision {
	t := e.target
	inputs.InFlight = t.occupied(now, &p.policy)
	inputs.Slowdown = e.pace
	inputs.ReportAge = t.readingAge(now)
	inputs.Alternative = p.other(e, now)
	inputs.ExpectedLatency = e.answer
	inputs.Waited = now - a.Arrived
	d := Decision{Target: t, Inputs: inputs, sent: now, pace: inputs.Slowdown}
	if p.needsClaim(t, inputs) {
		d.claim = &claim{target: t, number: p.random.Uint32()}
		t.claims = append(t.claims, d.claim)
		d.sent += d.claim.pause()
	}
	t.own++
	t.note(d.sent, 1)
	return d
}

// refuse returns a refusal with the time after which room is expected. The lock is held.
func (p *Pool) refuse(a *Request, why *reason.Reason, now time.Duration) Decision {
	work := p.workOf(a).estimate()
	after := minRetryAfter
	if throughput := p.throughput(now, work); throughput > 0 {
		after += time.Duration(float64(len(p.waiting)) / throughput)
	}
	if pause := p.shortestPause(now); why == reason.NoTarget && pause > 0 {
		after = pause
	}
	// The spread keeps refused callers from coming back together.
	after += time.Duration(p.random.Int64N(int64(after)))
	return Decision{
		Refusal: why, RetryAfter: min(after, maxRetryAfter),
		Inputs: Inputs{Candidates: len(p.targets), Waiting: len(p.waiting), Waited: now - a.Arrived, ReportAge: -1},
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
		if now >= t.unreachableUntil && !t.forbids(now) {
			total += float64(t.usable(&p.policy)) / (float64(work) * t.pace(now, work, p.meanPace, &p.policy))
		}
	}
	return total / float64(p.sharers)
}
