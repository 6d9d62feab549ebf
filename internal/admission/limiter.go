package admission

import (
	"context"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Limiter blocks goroutines until their requests are admitted or refused by a Queue. It is safe for concurrent use.
type Limiter struct {
	start time.Time
	mu    sync.Mutex
	queue *Queue
}

// NewLimiter returns a limiter with an empty queue.
func NewLimiter(config Config) *Limiter {
	return &Limiter{start: time.Now(), queue: NewQueue(config)}
}

// Resize sets new bounds. Requests that are in flight or waiting stay.
func (l *Limiter) Resize(config Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Resize(config)
}

// Admission is an admitted request. Finish must be called exactly once.
type Admission struct {
	limiter    *Limiter
	request    *Request
	admittedAt time.Duration
}

// Admit blocks until the request is admitted or refused; one of the results is nil. The context must have a deadline, by
// which the answer is due. Requests of long classes may wait up to it, others up to Config.MaxWait.
func (l *Limiter) Admit(ctx context.Context, caller string, priority int, long bool) (*Admission, *reason.Reason) {
	request := &Request{Caller: caller, Priority: priority, Long: long}
	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = deadline.Sub(l.start)
	}
	decision, refusal := l.offer(request)
	if decision != nil {
		refusal = l.wait(ctx, request, decision)
	}
	if refusal != nil {
		return nil, refusal
	}
	return &Admission{limiter: l, request: request, admittedAt: l.now()}, nil
}

// offer offers the request to the queue. If the request has to wait, it returns a channel that receives nil on admission
// or the reason of a refusal. Setting Notify after Offer is safe because the queue calls it with l.mu held only.
func (l *Limiter) offer(r *Request) (<-chan *reason.Reason, *reason.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted, refusal := l.queue.Offer(l.now(), r)
	if admitted || refusal != nil {
		return nil, refusal
	}
	decision := make(chan *reason.Reason, 1)
	r.Notify = func(refused *reason.Reason) { decision <- refused }
	return decision, nil
}

// wait blocks until the queue decides on the request or the context is done. It returns nil on admission.
func (l *Limiter) wait(ctx context.Context, r *Request, decision <-chan *reason.Reason) *reason.Reason {
	timer := time.NewTimer(l.longestWait(r))
	defer timer.Stop()
	for {
		select {
		case refusal := <-decision:
			return refusal
		case <-timer.C:
			l.expire()
		case <-ctx.Done():
			if l.cancel(r) {
				return contextReason(ctx)
			}
			return <-decision
		}
	}
}

// longestWait returns how long the request may wait in the queue.
func (l *Limiter) longestWait(r *Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := r.Deadline - l.now()
	if r.Long {
		return remaining
	}
	return min(remaining, l.queue.config.MaxWait)
}

func (l *Limiter) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Expire(l.now())
}

func (l *Limiter) cancel(r *Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Cancel(r)
}

// Finish ends the request with its result and admits waiting requests.
func (a *Admission) Finish(result Result) {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.queue.Finish(now, now-a.admittedAt, a.request, result)
}

// now returns the time since the limiter was created.
func (l *Limiter) now() time.Duration { return time.Since(l.start) }

// contextReason returns the reason of a refusal because the context is done.
func contextReason(ctx context.Context) *reason.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return reason.DeadlineTooShort
	}
	return reason.CallerLeftEarly
}
