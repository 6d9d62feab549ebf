// Package admission decides which requests may be sent to the targets of a
// service, which wait and which are refused. A Queue is the decision, free of
// clocks and goroutines; a Limiter runs it for traffic goroutines. A RetryBudget
// limits retries.
package admission

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Request is a request that asks for admission.
type Request struct {
	// Caller identifies the caller for fair sharing.
	Caller string
	// Priority of the class: the lowest is shed first.
	Priority int
	// Deadline is the time at which the answer is due.
	Deadline time.Duration
	// Waits is true for long classes, which may wait until their deadline.
	Long bool

	offered time.Duration
	// Notify is called once with nil on admission or with the reason of a refusal, unless Offer returns either. It may
	// be set after Offer, before the next call of a method of the queue.
	Notify func(*reason.Reason)
}

// Config bounds a queue.
type Config struct {
	// MaxInFlight is the highest number of requests at targets at once.
	MaxInFlight int
	// MinInFlight is the lowest value of the adaptive limit.
	MinInFlight int
	// MaxWaiting is the highest number of waiting requests.
	MaxWaiting int
	// MaxWait is how long a request of a class that is not long may wait.
	MaxWait time.Duration
}

// Queue admits requests of one service. It is not safe for concurrent use.
type Queue struct {
	config   Config
	limit    limit
	inFlight int
	// longInFlight counts the admitted requests of long classes.
	longInFlight int
	waiting      []*Request
	callers      map[string]*callerLoad
	service      serviceTime
}

// callerLoad counts the requests of one caller. Entries without requests are removed.
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

// Resize adopts new bounds.
func (q *Queue) Resize(config Config) {
	q.config = config
	q.limit.resize(config.MinInFlight, config.MaxInFlight)
}

// Offer decides on a request: admitted (true, nil), refused (false, reason) or waiting (false, nil). Another waiting
// request may be refused through its Notify to make room.
func (q *Queue) Offer(now time.Duration, r *Request) (bool, *reason.Reason) {
	r.offered = now
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
	why := q.refusalOf(victim)
	q.dequeue(victim)
	if victim == r {
		return false, why
	}
	victim.Notify(why)
	return false, nil
}

// longShare is the share of the limit that long classes may hold, so that summaries that run for minutes leave room
// for bookings.
const longShare = 0.5

// permits reports whether the limit has room for the request.
func (q *Queue) permits(r *Request) bool {
	if r.Long && q.longInFlight >= max(1, int(q.limit.current*longShare)) {
		return false
	}
	return q.limit.allows(q.inFlight)
}

// blocked reports whether a waiting request goes before r.
func (q *Queue) blocked(r *Request) bool {
	for _, w := range q.waiting {
		if w.Priority >= r.Priority && q.permits(w) {
			return true
		}
	}
	return false
}

// tooLate reports that the request would not be answered before its deadline, judged by the mean service time and
// the requests that wait before it.
func (q *Queue) tooLate(now time.Duration, r *Request) bool {
	remaining := r.Deadline - now
	if remaining <= 0 {
		return true
	}
	return !r.Long && q.expectedWait(r) > remaining
}

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
	return time.Duration(float64(q.service.mean) * float64(ahead+1) / q.limit.current)
}

// Finish records the end of an admitted request and admits waiting ones.
func (q *Queue) Finish(now, elapsed time.Duration, r *Request, end Result) {
	q.inFlight--
	if r.Long {
		q.longInFlight--
	}
	load := q.callers[r.Caller]
	load.inFlight--
	q.forget(r.Caller, load)
	switch end {
	case Answered:
		if !r.Long {
			q.service.add(elapsed)
		}
		q.limit.answered()
	case Shed:
		q.limit.shed(now)
	}
	q.admitWaiting(now)
}

// End says how an admitted request ended.
type Result int

// Ends of admitted requests.
const (
	// Answered is a whole answer.
	Answered Result = iota
	// Shed is a refusal by the targets.
	Shed
	// Other is any other end.
	Other
)

// Expire refuses the requests that have waited too long.
func (q *Queue) Expire(now time.Duration) {
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		why := q.expired(now, r)
		if why == nil {
			i++
			continue
		}
		q.dequeue(r)
		r.Notify(why)
	}
}

func (q *Queue) expired(now time.Duration, r *Request) *reason.Reason {
	if now >= r.Deadline {
		return reason.DeadlineTooShort
	}
	if !r.Long && now-r.offered >= q.config.MaxWait {
		return reason.Overloaded
	}
	return nil
}

// Cancel removes a waiting request whose caller left, and reports whether it was waiting.
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

// Limit returns the current limit of requests in flight.
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
	q.load(r.Caller).inFlight++
}

func (q *Queue) enqueue(r *Request) {
	q.waiting = append(q.waiting, r)
	q.load(r.Caller).waiting++
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
	q.forget(r.Caller, load)
}

func (q *Queue) load(caller string) *callerLoad {
	load := q.callers[caller]
	if load == nil {
		load = &callerLoad{}
		q.callers[caller] = load
	}
	return load
}

func (q *Queue) forget(caller string, load *callerLoad) {
	if load.total() == 0 {
		delete(q.callers, caller)
	}
}
