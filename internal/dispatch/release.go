package dispatch

import (
	"time"
)

// Result classifies how an exchange with a target ended.
type Result int

// Results of exchanges.
const (
	// Answered means that the target answered successfully.
	Answered Result = iota
	// Failed means that the target may have executed the request but failed it or did not answer.
	Failed
	// Shed means that the target refused the request without executing it.
	Shed
	// ConnectFailed means that no connection to the target could be opened.
	ConnectFailed
	// Cancelled means that the caller left or the instance abandoned the exchange for reasons unrelated to the target.
	Cancelled
)

// DoneInfo describes a finished exchange.
type DoneInfo struct {
	Result Result
	// NotReached is true if the target provably did not receive the request, so that its credit can be used for another one.
	NotReached bool
	// Load is the load report that the answer carried, or nil.
	Load *LoadReport
	// ColdFor is how much longer the target is cold, as the answer told.
	ColdFor time.Duration
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
}

// Release frees the slot of a finished exchange and learns from its result. It must be called once for each Decision of
// Acquire that has a target. It returns the credit of a request that did not reach the target.
func (p *Pool) Release(r *Request, d Decision, done DoneInfo) {
	p.release(r, d, done)
	if d.hasCredit && (done.NotReached || done.Result == ConnectFailed) {
		p.Credit.Return(d.grant)
	}
}

func (p *Pool) release(r *Request, d Decision, done DoneInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := d.Target
	t.ownInFlight--
	t.recordEnd(now, d.sentAt)
	switch done.Result {
	case Answered:
		t.recordSuccess(now)
		p.recordUse(t, now)
		p.routeEstimateOf(r).add(time.Duration(float64(d.elapsed(now))/d.slowdown), done.AnswerBytes)
	case Failed:
		t.recordFailure(now, 1)
	case Shed:
		t.recordFailure(now, shedFailureWeight)
	case ConnectFailed:
		t.recordUnreachable(now)
	}
	if done.ColdFor > 0 {
		t.coldUntil = max(t.coldUntil, now+done.ColdFor)
	}
	if done.Load != nil {
		t.applyReport(*done.Load)
	}
	p.dispatchWaiting(now)
}

// shedFailureWeight is the weight of a request shed by a target relative to a failure. The target is full or failing, but
// the request was not lost.
const shedFailureWeight = 0.4

// routeEstimate holds moving averages for one route: the service time in ns on a target with a slowdown of 1, and the
// size of an answer in bytes.
type routeEstimate struct{ serviceTime, answerBytes float64 }

const (
	// initialServiceTimeShare is the estimate of the service time before the first answer, as a share of the latency
	// objective.
	initialServiceTimeShare = 0.4
	// routeEstimateGain is the weight of one answer in the averages.
	routeEstimateGain = 0.03
	// maxSampleFactor caps a service time sample at this multiple of the average, which limits the effect of one slow
	// answer.
	maxSampleFactor = 3
	// minServiceTime is the shortest sample. Decisions divide by the average.
	minServiceTime = 10 * time.Microsecond
)

func (e *routeEstimate) meanServiceTime() time.Duration { return time.Duration(e.serviceTime) }

// add includes one answer in the averages. The sample is its service time divided by the expected slowdown.
func (e *routeEstimate) add(sample time.Duration, answerBytes int) {
	sample = max(sample, minServiceTime)
	e.answerBytes += routeEstimateGain * (float64(answerBytes) - e.answerBytes)
	e.serviceTime += routeEstimateGain * (min(float64(sample), maxSampleFactor*e.serviceTime) - e.serviceTime)
}

// routeEstimateOf returns the estimate for the route of a request. The caller holds p.mu.
func (p *Pool) routeEstimateOf(r *Request) *routeEstimate {
	e := p.routes[r.Route]
	if e == nil {
		e = &routeEstimate{serviceTime: max(float64(r.Objective)*initialServiceTimeShare, float64(time.Millisecond))}
		p.routes[r.Route] = e
	}
	return e
}

// MeanServiceTime returns the mean of the service times of all routes at the current mean slowdown of the targets, or 0
// before the first request.
func (p *Pool) MeanServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanRequestTime()
}

// meanRequestTime is MeanServiceTime for callers that hold p.mu.
func (p *Pool) meanRequestTime() time.Duration {
	if len(p.routes) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range p.routes {
		sum += e.serviceTime
	}
	return time.Duration(sum / float64(len(p.routes)) * p.meanSlowdown)
}

// retryBudget is this instance's part of the fleet's budget for retries on further targets. It is unrelated to
// admission.RetryBudget, which limits the retries of package gateway.
type retryBudget struct {
	tokens     float64
	refilledAt time.Duration
	// started is false before the first request.
	started bool
}

// RecordRequest counts a request of a caller, which adds RetryRatio retries to the retry budget.
func (p *Pool) RecordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillRetryBudget()
	p.retries.tokens = min(p.retries.tokens+p.policy.RetryRatio, p.retryBudgetCap())
}

// MayRetry takes one retry from the retry budget. It reports false if the budget is used up.
func (p *Pool) MayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillRetryBudget()
	if p.retries.tokens < 1 {
		return false
	}
	p.retries.tokens--
	return true
}

// retryBudgetCap returns the number of retries that this instance may save up. All instances may spend their savings in
// the same window. The caller holds p.mu.
func (p *Pool) retryBudgetCap() float64 {
	return max(1, retrySavingsShare*p.policy.RetryExtra/float64(p.instances))
}

// retrySavingsShare is the share of RetryExtra that the instances may save up. The rest is refilled over each window.
const retrySavingsShare = 0.5

// refillRetryBudget adds this instance's share of RetryExtra for the time since the last refill. The caller holds p.mu.
func (p *Pool) refillRetryBudget() {
	now := p.now()
	b := &p.retries
	if !b.started {
		b.started, b.refilledAt = true, now
		if p.instancesKnown {
			b.tokens = p.retryBudgetCap()
		}
	}
	if p.instancesKnown {
		refill := max(0, p.policy.RetryExtra/float64(p.instances)-p.retryBudgetCap())
		b.tokens += refill * float64(now-b.refilledAt) / float64(p.policy.RetryWindow)
	}
	b.tokens = min(b.tokens, p.retryBudgetCap())
	b.refilledAt = now
}

// SetInstances sets the number of instances that share the targets, and whether that number is known. While it is a
// guess, as just after a start of all instances, each instance may spend only the retries that its own requests earn.
func (p *Pool) SetInstances(instances int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances, p.instancesKnown = max(instances, 1), known
}
