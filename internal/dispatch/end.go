package dispatch

import (
	"time"
)

// End says how an exchange with a target ended.
type Result int

// Ends of exchanges.
const (
	// Answered means that the target answered well.
	Answered Result = iota
	// Failed means that the target failed a request that it may have run, or gave no answer.
	Failed
	// Shed means that the target refused the request without running it.
	Shed
	// Unconnected means that no connection could be opened.
	ConnectFailed
	// Withdrawn means that the caller left or the instance gave up for reasons that do not concern the target.
	Cancelled
)

// Report says how an exchange ended and what its answer told.
type DoneInfo struct {
	Result Result
	// Load is the load that the answer carried, or nil.
	Load *LoadReport
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
}

// Release notes the end of an exchange.
func (p *Pool) Release(a *Request, d Decision, r DoneInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := d.Target
	t.own--
	t.note(now, -1)
	switch r.Result {
	case Answered:
		t.noteSuccess(now)
		p.noteUsed(t, now)
		p.workOf(a).add(time.Duration(float64(now-d.sent)/d.pace), r.AnswerBytes)
	case Failed:
		t.noteFailure(now, 1)
	case Shed:
		t.noteFailure(now, shedWeight)
	case ConnectFailed:
		t.noteUnreachable(now)
	}
	if r.Load != nil {
		t.take(*r.Load)
	}
	p.serveWaiting(now)
}

// shedWeight is the evidence of a refusal by a target: it is full or failing, but lost nothing.
const shedWeight = 0.4

// workEstimate learns how long the work of a route takes on a target at its usual pace, and the size of its answers.
type workEstimate struct{ mean, bytes float64 }

const (
	// initialWorkShare is the share of the latency objective that work takes before any was measured.
	initialWorkShare = 0.4
	// workGain is the weight of one measurement.
	workGain = 0.03
	// maxWorkGrowth bounds the effect of one slow answer on the estimate.
	maxWorkGrowth = 3
)

func (w *workEstimate) estimate() time.Duration { return time.Duration(w.mean) }

func (w *workEstimate) add(d time.Duration, bytes int) {
	w.bytes += workGain * (float64(bytes) - w.bytes)
	w.mean += workGain * (min(float64(d), maxWorkGrowth*w.mean) - w.mean)
}

// workOf returns the estimate of a route. The lock is held.
func (p *Pool) workOf(a *Request) *workEstimate {
	w := p.work[a.Route]
	if w == nil {
		w = &workEstimate{mean: max(float64(a.Objective)*initialWorkShare, float64(time.Millisecond))}
		p.work[a.Route] = w
	}
	return w
}

// MeanWork returns the mean over the routes of how long their work takes on a target at its present pace, or 0 before the
// first request.
func (p *Pool) MeanServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.work) == 0 {
		return 0
	}
	sum := 0.0
	for _, w := range p.work {
		sum += w.mean
	}
	return time.Duration(sum / float64(len(p.work)) * p.meanPace)
}

// retryBudget is this instance's share of the fleet's allowance for sending requests to a further target.
type retryBudget struct {
	tokens float64
	at     time.Duration
	// started is false before the first request.
	started bool
}

// Arrived notes a request of a caller for the service, which adds to the allowance for retries.
func (p *Pool) RecordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillRetries()
	p.retries.tokens = min(p.retries.tokens+p.policy.RetryRatio, p.retryCap())
}

// MayRetry takes one retry from the allowance.
func (p *Pool) MayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillRetries()
	if p.retries.tokens < 1 {
		return false
	}
	p.retries.tokens--
	return true
}

// retryCap is the most that the allowance holds for later. What all instances hold may be spent in one window. The lock is
// held.
func (p *Pool) retryCap() float64 {
	return max(1, heldShare*p.policy.RetryExtra/float64(p.sharers))
}

// heldShare is the share of the extra retries that the instances may hold for later. The rest is added over each window.
const heldShare = 0.5

// refillRetries adds this instance's share of the fleet's extra retries. The lock is held.
func (p *Pool) refillRetries() {
	now := p.now()
	r := &p.retries
	if !r.started {
		r.started, r.at = true, now
		if p.sharersKnown {
			r.tokens = p.retryCap()
		}
	}
	if p.sharersKnown {
		refill := max(0, p.policy.RetryExtra/float64(p.sharers)-p.retryCap())
		r.tokens += refill * float64(now-r.at) / float64(p.policy.RetryWindow)
	}
	r.tokens = min(r.tokens, p.retryCap())
	r.at = now
}

// SetSharers tells how many instances share the targets, and whether that number is known. While it is a guess, as just after
// a start of all instances, each of them uses only the retries that its own requests earn.
func (p *Pool) SetInstances(sharers int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharers, p.sharersKnown = max(sharers, 1), known
}
