package admission

import (
	"context"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Limiter runs a queue for traffic goroutines. It is safe for concurrent use.
type Limiter struct {
	start time.Time
	mu    sync.Mutex
	queue *Queue
}

// NewLimiter returns a limiter with an empty queue.
func NewLimiter(config Config) *Limiter {
	return &Limiter{start: time.Now(), queue: NewQueue(config)}
}

// Resize adopts new bounds.
func (l *Limiter) Resize(config Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Resize(config)
}

// Admission is an admitted request. Finish must be called once.
type Admission struct {
	limiter *Limiter
	request *Request
	begun   time.Duration
}

// Admit waits until the request may be sent to a target. The deadline is that of the context, which must have one.
func (l *Limiter) Admit(ctx context.Context, caller string, priority int, waits bool) (*Admission, *reason.Reason) {
	request := &Request{Caller: caller, Priority: priority, Long: waits}
	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = deadline.Sub(l.start)
	}
	answer, refusal := l.offer(request)
	if answer != nil {
		refusal = l.wait(ctx, request, answer)
	}
	if refusal != nil {
		return nil, refusal
	}
	return &Admission{limiter: l, request: request, begun: l.now()}, nil
}

// offer returns a channel for the decision if the request has to wait. The queue notifies under the lock, so that the
// channel is only needed once Offer has returned.
func (l *Limiter) offer(r *Request) (<-chan *reason.Reason, *reason.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted, refusal := l.queue.Offer(l.now(), r)
	if admitted || refusal != nil {
		return nil, refusal
	}
	answer := make(chan *reason.Reason, 1)
	r.Notify = func(why *reason.Reason) { answer <- why }
	return answer, nil
}

// wait blocks until the queue decides on the request or its caller leaves.
func (l *Limiter) wait(ctx context.Context, r *Request, answer <-chan *reason.Reason) *reason.Reason {
	timer := time.NewTimer(l.longestWait(r))
	defer timer.Stop()
	for {
		select {
		case why := <-answer:
			return why
		case <-timer.C:
			l.expire()
		case <-ctx.Done():
			if l.cancel(r) {
				return contextReason(ctx)
			}
			return <-answer
		}
	}
}

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

// Finish records the end of the request.
func (a *Admission) Finish(end Result) {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.queue.Finish(now, now-a.begun, a.request, end)
}

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

func contextReason(ctx context.Context) *reason.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return reason.DeadlineTooShort
	}
	return reason.CallerLeftEarly
}
