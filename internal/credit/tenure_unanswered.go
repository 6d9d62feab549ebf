package credit

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// unansweredAppend is an append that got no answer, so that it may have been executed.
type unansweredAppend struct {
	at        topic.Position
	startedAt time.Duration
}

// keepUnansweredRenewal makes the next call a read if an append behind the newest own record got no answer. A retry of the append would
// find a conflict with the own record. The read does not wait if the call has already taken as long as a pause.
func (t *Tenure) keepUnansweredRenewal(now time.Duration, r AppendResult) {
	if t.ownNext.Offset == 0 || r.At != t.ownNext {
		return
	}
	if t.renewal.at != r.At {
		t.renewal = unansweredAppend{at: r.At, startedAt: r.StartedAt}
	}
	t.renewalUnknown = true
	if now-r.StartedAt >= minRetry {
		t.retryAt = now
	}
}

// checksRenewal reports whether the newest record may be a renewal of this instance that got no answer.
func (t *Tenure) checksRenewal() bool {
	return t.renewalUnknown && (t.owns || t.holder.ID == "" || t.holder == t.self)
}

// readOwnLease takes a read whose newest record is one of the present ownership, and reports whether it is. A renewal without an answer
// that the read finds extends the lease as its answer would have, counted from the earliest append at that position.
func (t *Tenure) readOwnLease(record OwnerRecord, end topic.Position) bool {
	if record.Holder != t.self || record.Era != end.Era || record.Challenge {
		return false
	}
	if end == t.ownNext {
		return t.known && end == t.next
	}
	if t.renewal.at != t.ownNext || end != t.ownNext.Next() {
		return false
	}
	until := max(t.ownUntil, t.renewal.startedAt+TTL)
	t.setNewest(t.self, end, until, t.ownBeganAt)
	t.readInItsEra = true
	t.ownNext, t.ownUntil, t.renewAt = end, until, t.renewal.startedAt+RenewInterval
	return true
}
