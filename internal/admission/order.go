package admission

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// next returns the waiting request to admit, or nil if the limit permits none. The highest priority goes first, then the
// caller with the fewest requests in flight, then the oldest request.
func (q *Queue) next() *Request {
	var best *Request
	for _, r := range q.waiting {
		if q.permits(r) && (best == nil || q.admitsBefore(r, best)) {
			best = r
		}
	}
	return best
}

// admitsBefore reports whether a is admitted before b.
func (q *Queue) admitsBefore(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return q.callers[a.Caller].inFlight < q.callers[b.Caller].inFlight
}

// victim returns the waiting request to refuse when the queue is full. The lowest priority goes first, then the caller with
// the most requests in flight or waiting, then the newest request.
func (q *Queue) victim() *Request {
	worst := q.waiting[len(q.waiting)-1]
	for i := len(q.waiting) - 2; i >= 0; i-- {
		if q.shedsBefore(q.waiting[i], worst) {
			worst = q.waiting[i]
		}
	}
	return worst
}

// shedsBefore reports whether a is shed before b.
func (q *Queue) shedsBefore(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return q.callers[a.Caller].total() > q.callers[b.Caller].total()
}

// refusalReason returns the reason for shedding a request: CallerShare if there are several callers and this one has more
// than its fair share of the requests in flight and waiting, Overloaded otherwise.
func (q *Queue) refusalReason(r *Request) *reason.Reason {
	share := (q.inFlight + len(q.waiting)) / len(q.callers)
	if len(q.callers) > 1 && q.callers[r.Caller].total() > share {
		return reason.CallerShare
	}
	return reason.Overloaded
}

// serviceTime is the exponentially weighted moving average of the time between admission and answer.
type serviceTime struct{ mean time.Duration }

// serviceTimeDivisor is the inverse of the weight of a new sample.
const serviceTimeDivisor = 16

func (s *serviceTime) add(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	s.mean += (sample - s.mean) / serviceTimeDivisor
}
