// Package admission decides which requests may be sent to the targets of a service, which wait and which are refused. A
// Queue makes the decisions without clocks and goroutines, and a Limiter applies them to the goroutines that handle
// requests. A RetryBudget limits retries.
package admission

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Request is a request for admission. All times are on the clock that is passed to the methods of the Queue.
type Request struct {
	// Caller identifies the caller, among whom the limit is shared fairly.
	Caller string
	// Priority is the priority of the class. Higher values are admitted first, lower values shed first.
	Priority int
	// Deadline is the time at which the answer is due.
	Deadline time.Duration
	// Long is true for requests of long classes, which may wait until their deadline.
	Long bool

	offeredAt time.Duration
	// Notify is called once, with nil on admission or with the reason of a refusal, unless Offer has returned the decision.
	// It may be set after Offer, but before the next call of a method of the queue.
	Notify func(*reason.Reason)
}

// Config bounds a queue.
type Config struct {
	// MaxInFlight is the upper bound of the adaptive limit on requests in flight.
	MaxInFlight int
	// MinInFlight is the lower bound of the adaptive limit.
	MinInFlight int
	// MaxWaiting is the length of the queue beyond which requests are shed.
	MaxWaiting int
	// MaxWait is how long a request may wait, unless its class is long.
	MaxWait time.Duration
}

// Queue admits the requests for one service. It is not safe for concurrent use.
type Queue struct {
	config   Config
	limit    limit
	inFlight int
	// longInFlight counts the admitted requests of long classes.
	longInFlight int
	waiting      []*Request
	callers      map[string]*callerLoad
	serviceTime  serviceTime
}

// callerLoad counts the requests of one caller.
type callerLoad struct{ inFlight, waiting int }

func (c *callerLoad) total() int { return c.inFlight + c.waiting }

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{
		config:  config,
		limit:   newLimit(config.MinInFlight, config.MaxInFlight),
		callers: map[string]*callerLoad{},
	}
}

// Resize sets new bounds. Requests that are in flight or waiting stay.
func (q *Queue) Resize(config Config) {
	q.config = config
	q.limit.resize(config.MinInFlight, config.MaxInFlight)
}

// Offer decides on a request: it is admitted (true, nil), refused (false, reason) or waits (false, nil). If the queue is
// full, Offer may refuse another waiting request instead, by a call of its Notify.
func (q *Queue) Offer(now time.Duration, r *Request) (bool, *reason.Reason) {
	r.offeredAt = now
	if q.tooLate(now, r) {
		return false, reason.DeadlineTooShort
	}
	if !q.blocked(r) && q.permits(r) {
		q.admit(r)
		return true, nil
	}
	q.enqueue(r)
	if len(q.waiting) <= q.config.MaxWaiting {
		return false, nil
	}
	victim := q.victim()
	refusal := q.refusalReason(victim)
	q.dequeue(victim)
	if victim == r {
		return false, refusal
	}
	victim.Notify(refusal)
	return false, nil
}

// longClassShare is the share of the limit that requests of long classes may use, so that those that run for minutes, such
// as summaries, leave capacity for short ones, such as bookings.
const longClassShare = 0.5

// permits reports whether the limit permits one more request like r in flight.
func (q *Queue) permits(r *Request) bool {
	if r.Long && q.longInFlight >= max(1, int(q.limit.current*longClassShare)) {
		return false
	}
	return q.limit.allows(q.inFlight)
}

// blocked reports whether a waiting request has to be admitted before r.
func (q *Queue) blocked(r *Request) bool {
	for _, w := range q.waiting {
		if w.Priority >= r.Priority && q.permits(w) {
			return true
		}
	}
	return false
}

// tooLate reports whether the request cannot be answered in time: its deadline has passed, or the expected wait, from the mean
// service time and the requests ahead, is longer than the time that remains. The wait does not count for long classes.
func (q *Queue) tooLate(now time.Duration, r *Request) bool {
	remaining := r.Deadline - now
	if remaining <= 0 {
		return true
	}
	return !r.Long && q.expectedWait(r) > remaining
}

// expectedWait estimates how long the request would wait for its admission.
func (q *Queue) expectedWait(r *Request) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if w.Priority >= r.Priority {
			ahead++
		}
	}
	if ahead == 0 && q.limit.allows(q.inFlight) {
		return 0
	}
	return time.Duration(float64(q.serviceTime.mean) * float64(ahead+1) / q.limit.current)
}

// Finish ends an admitted request, adapts the limit to its result and admits waiting requests. The elapsed time is that
// since the admission.
func (q *Queue) Finish(now, elapsed time.Duration, r *Request, result Result) {
	q.inFlight--
	if r.Long {
		q.longInFlight--
	}
	load := q.callers[r.Caller]
	load.inFlight--
	q.removeIfIdle(r.Caller, load)
	switch result {
	case Answered:
		if !r.Long {
			q.serviceTime.add(elapsed)
		}
		q.limit.onAnswered()
	case Shed:
		q.limit.onShed(now)
	}
	q.admitWaiting(now)
}

// Result classifies how an admitted request ended.
type Result int

// Results of admitted requests.
const (
	// Answered means that the target gave a complete answer.
	Answered Result = iota
	// Shed means that the targets refused the request without executing it.
	Shed
	// Other is any other result. It does not change the limit.
	Other
)

// Expire refuses the requests that have waited too long.
func (q *Queue) Expire(now time.Duration) {
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		refusal := q.expired(now, r)
		if refusal == nil {
			i++
			continue
		}
		q.dequeue(r)
		r.Notify(refusal)
	}
}

// expired returns the reason to refuse a waiting request now, or nil if it may wait on.
func (q *Queue) expired(now time.Duration, r *Request) *reason.Reason {
	if now >= r.Deadline {
		return reason.DeadlineTooShort
	}
	if !r.Long && now-r.offeredAt >= q.config.MaxWait {
		return reason.Overloaded
	}
	return nil
}

// Cancel removes a waiting request whose caller left. It reports false if the request was not waiting.
func (q *Queue) Cancel(r *Request) bool {
	for _, w := range q.waiting {
		if w == r {
			q.dequeue(r)
			return true
		}
	}
	return false
}

// InFlight returns the number of admitted requests.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Limit returns the current limit on requests in flight.
func (q *Queue) Limit() int { return int(q.limit.current) }

func (q *Queue) admitWaiting(now time.Duration) {
	q.Expire(now)
	for {
		next := q.next()
		if next == nil {
			return
		}
		q.dequeue(next)
		q.admit(next)
		next.Notify(nil)
	}
}

func (q *Queue) admit(r *Request) {
	q.inFlight++
	if r.Long {
		q.longInFlight++
	}
	q.callerLoad(r.Caller).inFlight++
}

func (q *Queue) enqueue(r *Request) {
	q.waiting = append(q.waiting, r)
	q.callerLoad(r.Caller).waiting++
}

func (q *Queue) dequeue(r *Request) {
	for i, w := range q.waiting {
		if w == r {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	load := q.callers[r.Caller]
	load.waiting--
	q.removeIfIdle(r.Caller, load)
}

// callerLoad returns the counts of a caller, which it adds if necessary.
func (q *Queue) callerLoad(caller string) *callerLoad {
	load := q.callers[caller]
	if load == nil {
		load = &callerLoad{}
		q.callers[caller] = load
	}
	return load
}

// removeIfIdle removes the counts of a caller without requests.
func (q *Queue) removeIfIdle(caller string, load *callerLoad) {
	if load.total() == 0 {
		delete(q.callers, caller)
	}
}
