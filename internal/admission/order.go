package admission

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// next returns the waiting request to admit, nil if there is none for which the limit has room: the highest priority
// first, then the caller with the fewest requests in flight, then the oldest.
func (q *Queue) next() *Request {
	var best *Request
	for _, r := range q.waiting {
		if q.permits(r) && (best == nil || q.before(r, best)) {
			best = r
		}
	}
	return best
}

func (q *Queue) before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return q.callers[a.Caller].inFlight < q.callers[b.Caller].inFlight
}

// victim returns the waiting request to refuse when the queue is full: the lowest priority, then the caller with the
// most requests, then the newest.
func (q *Queue) victim() *Request {
	worst := q.waiting[len(q.waiting)-1]
	for i := len(q.waiting) - 2; i >= 0; i-- {
		if q.worse(q.waiting[i], worst) {
			worst = q.waiting[i]
		}
	}
	return worst
}

func (q *Queue) worse(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return q.callers[a.Caller].total() > q.callers[b.Caller].total()
}

// refusalOf blames the caller when it holds more than its fair share among several callers.
func (q *Queue) refusalOf(r *Request) *reason.Reason {
	share := (q.inFlight + len(q.waiting)) / len(q.callers)
	if len(q.callers) > 1 && q.callers[r.Caller].total() > share {
		return reason.CallerShare
	}
	return reason.Overloaded
}

// serviceTime is the moving mean of the time between admission and answer.
type serviceTime struct{ mean time.Duration }

// serviceTimeWeight is the inverse weight of a new sample.
const serviceTimeWeight = 16

func (s *serviceTime) add(sample time.Duration) {
	if s.mean == 0 {
		s.mean = sample
		return
	}
	s.mean += (sample - s.mean) / serviceTimeWeight
}
