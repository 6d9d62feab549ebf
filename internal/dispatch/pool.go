package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
)

// Request describes a request that needs a target. It must not change while it waits.
type Request struct {
	// Route is the name under which service times and answer sizes are learned.
	Route string
	// Priority orders waiting requests. Lower values go first, unlike in package admission.
	Priority int
	// Objective is the latency objective, counted from Arrived.
	Objective time.Duration
	// Arrived is when the instance received the request, and Deadline when an answer is of no more use to the caller. Both
	// are on the clock of the Pool.
	Arrived, Deadline time.Duration
	// RequestBytes is the size of the request's body.
	RequestBytes int
	// Excluded holds the targets that must not be chosen, because the request was sent to them already.
	Excluded []*Target
}

// Decision is the result of Acquire: a target or a refusal.
type Decision struct {
	// Target receives the request. It is nil for a refusal.
	Target *Target
	// Refusal is the reason why no target was chosen.
	Refusal *reason.Reason
	// Cause is the error behind the refusal, nil if the reason says all that is known.
	Cause error
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Inputs explain the decision in the log.
	Inputs Inputs
	// assignedAt is when the target was chosen, sentAt when the request is to be sent, and slowdown the slowdown expected of the
	// target then.
	assignedAt, sentAt time.Duration
	slowdown           float64
	// claim is set if the request has to be claimed before it is sent.
	claim *claim
	// needsCredit is true if the request has to get a credit before it is sent, which is grant once hasCredit is true.
	needsCredit, hasCredit bool
	grant                  credit.Grant
}

// SentAt returns the time at which the request was to be sent.
func (d Decision) SentAt() time.Duration { return d.sentAt }

// elapsed returns how long the request took that ends now. One that ends before it was to be sent did not wait for its claim: the
// leader of the target's zone claims at once.
func (d Decision) elapsed(now time.Duration) time.Duration {
	if now < d.sentAt {
		return now - d.assignedAt
	}
	return now - d.sentAt
}

// Inputs are the figures on which a decision was based.
type Inputs struct {
	// Candidates and Available count the considered targets and those of them with a free slot. Waiting counts the requests
	// ahead in the queue. For a refusal, Candidates counts all registered targets and Waiting the whole queue.
	Candidates, Available, Waiting int
	// usedSlots and usableSlots are the sums over the candidates.
	usedSlots, usableSlots int
	// InFlight and Slowdown are the estimates for the chosen target.
	InFlight int
	Slowdown float64
	// ReportAge is the age of the target's load report, negative without one.
	ReportAge time.Duration
	// ExpectedLatency is the expected time until the target answers.
	ExpectedLatency time.Duration
	// Alternative is the best candidate that was not chosen.
	Alternative Alternative
	// DeniedClaims and DeniedCredits are the numbers of claims and of credits that were denied before this decision.
	DeniedClaims, DeniedCredits int
	// cold tells about the candidates that need a credit.
	cold coldCandidates
	// Waited is the time from the arrival of the request to the decision.
	Waited time.Duration
}

// Alternative is a candidate that was not chosen, with its estimates.
type Alternative struct {
	// Target is the id of the target, empty if there was no other candidate.
	Target   string
	InFlight int
	Slowdown float64
	// ReportAge is the age of the target's load report, negative without one.
	ReportAge       time.Duration
	ExpectedLatency time.Duration
	// ExtraCost is how much more the target cost than the chosen one. It exceeds the difference of the expected latencies
	// if the target is in another zone, failed requests recently or has no idle connection.
	ExtraCost time.Duration
}

// Pool assigns requests to the targets of one service. It is safe for concurrent use.
type Pool struct {
	// SendClaim sends a claim for a slot of a target to the leader of the target's zone, with the time for which the request
	// is expected to be in flight. It reports whether a denial may follow. It must be set before the first request; if it is
	// nil, no claims are made.
	SendClaim func(target string, number uint32, expected time.Duration) bool
	// Credit hands out the credits that requests for cold targets need. It must be set before the first request; if it is nil, cold
	// targets receive requests without a limit.
	Credit credit.Source
	policy Policy
	zone   string
	// now returns the monotonic time.
	now func() time.Duration

	mu sync.Mutex
	// targets holds the localCount targets of the own zone, then the others.
	targets    []*Target
	localCount int
	// cheapest holds the two cheapest estimates of the last decision, for the log.
	cheapest [2]estimate
	// sampled holds the targets that the last decision considered. It is reused to avoid allocations.
	sampled []*Target
	// recentlyUsed holds the targets of a large own zone, or of all zones if the own one has none, that answered requests of this
	// instance last.
	recentlyUsed []*Target
	byID         map[string]*Target
	routes       map[string]*routeEstimate
	// waiting is the queue, ordered by priority, then arrival.
	waiting []*waiter
	// warmup limits the requests to cold targets.
	warmup credit.Limit
	// meanSlowdown is the moving average over the load reports of all targets.
	meanSlowdown float64
	// instances is the number of instances that send to the same targets. instancesKnown is false while it is a guess.
	instances      int
	instancesKnown bool
	retries        retryBudget
	random         *rand.Rand
	// firstReportDeadline is the time until which targets without a load report receive no requests.
	firstReportDeadline time.Duration
	// storedBackpressure holds the hints of target incarnations, so that they survive a deregistration.
	storedBackpressure map[string]backpressure
	// dispatchScheduled is true while a call of dispatchWaiting is scheduled.
	dispatchScheduled bool
	// creditTimerAt is the time of the next call of dispatchWaiting for a credit, or 0 if none is scheduled.
	creditTimerAt time.Duration
	// firstReportTimerSet is true once a call of dispatchWaiting at firstReportDeadline is scheduled.
	firstReportTimerSet bool
}

// NewPool returns a pool without targets for an instance in the given zone. The function now must return a monotonic time.
// The pool uses random under its own mutex, so nothing else may use random.
func NewPool(policy Policy, zone string, now func() time.Duration, random *rand.Rand) *Pool {
	return &Pool{
		firstReportDeadline: now() + firstReportWait,
		policy:              policy, zone: zone, now: now, random: random, instances: 1, instancesKnown: true, meanSlowdown: initialSlowdown,
		byID: map[string]*Target{}, routes: map[string]*routeEstimate{}, storedBackpressure: map[string]backpressure{},
	}
}

// SetTargets replaces the registered targets and sets the number of instances that share them. The state of targets whose
// incarnation and address stay the same is kept. The parameter wall is the current wall time, to which the ends of the
// warm-up periods are compared.
func (p *Pool) SetTargets(targets []registry.Target, instances int, wall time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.instances = max(instances, 1)
	byID := make(map[string]*Target, len(targets))
	p.targets = p.targets[:0]
	for _, r := range targets {
		t := p.byID[r.ID]
		if t == nil || !t.matches(r) {
			t = newTarget(r, p.zone, 0)
			p.restoreBackpressure(t)
		}
		t.slots, t.warmUntil = max(r.Slots, 1), 0
		if r.WarmupEnd.After(wall) {
			t.warmUntil = now + r.WarmupEnd.Sub(wall)
		}
		byID[r.ID] = t
		p.targets = append(p.targets, t)
	}
	slices.SortStableFunc(p.targets, func(a, b *Target) int { return zoneOrder(a) - zoneOrder(b) })
	p.localCount = 0
	for _, t := range p.targets {
		p.localCount += 1 - zoneOrder(t)
	}
	p.byID = byID
	if len(p.storedBackpressure) > 0 {
		p.pruneBackpressure(now)
	}
	p.recentlyUsed = slices.DeleteFunc(p.recentlyUsed, func(t *Target) bool { return byID[t.ID] != t })
	p.dispatchWaiting(now)
}

// zoneOrder returns 0 for targets of the own zone and 1 for others, so that the former sort first.
func zoneOrder(t *Target) int {
	if t.local {
		return 0
	}
	return 1
}

// TargetLoad is a load report with the target that sent it.
type TargetLoad struct {
	Target *Target
	LoadReport
}

// Target returns the registered target with the given id, or nil. It returns the same pointer as long as the incarnation
// stays registered at its address.
func (p *Pool) Target(id string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// MarkCold records that the target with an id is cold until a time.
func (p *Pool) MarkCold(id string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byID[id]; t != nil {
		t.coldUntil = max(t.coldUntil, until)
	}
}

// LastSeen returns when the last load report of a target arrived, or 0 if there was none or t is nil.
func (p *Pool) LastSeen(t *Target) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t == nil || !t.hasReport {
		return 0
	}
	return t.report.ReceivedAt
}

// UpdateLoad applies load reports and schedules new decisions for the waiting requests.
func (p *Pool) UpdateLoad(loads []TargetLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range loads {
		l.Target.applyReport(l.LoadReport)
		p.meanSlowdown += meanSlowdownGain * (l.Slowdown - p.meanSlowdown)
	}
	p.scheduleDispatch()
}

// meanSlowdownGain is the weight of one load report in the mean slowdown. A service yields some hundred reports a second.
const meanSlowdownGain = 0.001

// Usage counts what the requests of this instance hold in a Pool. All counts are 0 while no request is being served.
type Usage struct {
	// InFlight counts the slots of registered targets, PendingClaims the claims that may still be denied, and Waiting the
	// requests in the queue.
	InFlight, PendingClaims, Waiting int
}

// Usage returns the current usage.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Waiting: len(p.waiting)}
	for _, t := range p.targets {
		u.InFlight += t.ownInFlight
		u.PendingClaims += len(t.pendingClaims)
	}
	return u
}

// MarkUnreachable records that the health path of a target does not answer, so that the target is skipped for a time.
func (p *Pool) MarkUnreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byID[id]; t != nil {
		t.recordUnreachable(p.now())
	}
}

// decide assigns the request to a target or refuses it. It reports false if the request has to wait; ahead is the number
// of requests before it in the queue. The caller holds p.mu.
func (p *Pool) decide(r *Request, now time.Duration, ahead int) (Decision, bool) {
	serviceTime := p.routeEstimateOf(r).meanServiceTime()
	best, available, inputs := p.choose(r, now, serviceTime)
	inputs.Waiting = ahead
	switch {
	case now >= r.Deadline:
		return p.refuse(r, reason.DeadlineTooShort, now), true
	case best.target == nil && inputs.cold.skipped():
		return p.decideWithoutCredit(r, now, ahead, inputs.cold)
	case best.target == nil:
		return p.refuse(r, reason.NoTarget, now), true
	case available.target != nil && (available.cost <= best.cost || now >= p.waitLimit(r)):
		return p.assign(available, r, now, inputs), true
	case now >= p.waitLimit(r):
		return p.refuseOverloaded(r, now, inputs), true
	}
	wait := time.Duration(float64(ahead+1) / p.throughput(now, serviceTime))
	if now < p.firstReportDeadline && available.target == nil {
		return Decision{}, false
	}
	if available.target != nil && wait+best.cost > available.cost {
		return p.assign(available, r, now, inputs), true
	}
	if now+wait > p.waitLimit(r) {
		return p.refuseOverloaded(r, now, inputs), true
	}
	return Decision{}, false
}

// assign counts the request on the chosen target and returns the decision. The caller holds p.mu.
func (p *Pool) assign(e estimate, r *Request, now time.Duration, inputs Inputs) Decision {
	t := e.target
	inputs.InFlight = t.inFlight(now, &p.policy)
	inputs.Slowdown = e.slowdown
	inputs.ReportAge = t.reportAge(now)
	inputs.Alternative = p.alternative(e, now)
	inputs.ExpectedLatency = e.latency
	inputs.Waited = now - r.Arrived
	d := Decision{Target: t, Inputs: inputs, assignedAt: now, sentAt: now, slowdown: inputs.Slowdown}
	switch {
	case p.limitsCold(t, now):
		d.needsCredit = true
		t.pendingCredits++
	case p.needsClaim(t, inputs):
		d.claim = &claim{target: t, number: p.random.Uint32(), expected: e.latency}
		t.pendingClaims = append(t.pendingClaims, d.claim)
		d.sentAt += d.claim.timeout()
		d.claim.sendAt = d.sentAt
	}
	t.ownInFlight++
	t.recordChange(d.sentAt, 1)
	return d
}

// refuse returns a refusal with the time after which a free slot is expected. The caller holds p.mu.
func (p *Pool) refuse(r *Request, refusal *reason.Reason, now time.Duration) Decision {
	serviceTime := p.routeEstimateOf(r).meanServiceTime()
	after := minRetryAfter
	if throughput := p.throughput(now, serviceTime); throughput > 0 {
		after += time.Duration(float64(len(p.waiting)) / throughput)
	}
	if backoff := p.shortestBackoff(now); refusal == reason.NoTarget && backoff > 0 {
		after = backoff
	}
	// Jitter keeps refused callers from retrying at the same time.
	after += time.Duration(p.random.Int64N(int64(after)))
	return Decision{
		Refusal: refusal, RetryAfter: min(after, maxRetryAfter),
		Inputs: Inputs{Candidates: len(p.targets), Waiting: len(p.waiting), Waited: now - r.Arrived, ReportAge: -1},
	}
}

const (
	// minRetryAfter is the shortest time after which a refused caller should retry.
	minRetryAfter = 60 * time.Millisecond
	// maxRetryAfter keeps callers from waiting longer than a burst usually lasts.
	maxRetryAfter = 2 * time.Second
)

// throughput estimates how many requests per nanosecond this instance's share of the targets completes. The caller holds
// p.mu.
func (p *Pool) throughput(now time.Duration, serviceTime time.Duration) float64 {
	total := 0.0
	for _, t := range p.targets {
		if now >= t.unreachableUntil && !t.blocked(now) {
			rate := float64(t.usableSlots(&p.policy)) / (float64(serviceTime) * t.slowdown(now, serviceTime, p.meanSlowdown, &p.policy))
			if p.limitsCold(t, now) {
				rate = min(rate, p.warmup.Rate/float64(time.Second))
			}
			total += rate
		}
	}
	return total / float64(p.instances)
}
