package credit

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// ReadDone takes the newest record and the end of the topic that a read found. The record is nil if there is none.
func (t *Tenure) ReadDone(now time.Duration, record *OwnerRecord, end topic.Position, err error) {
	t.calling = false
	t.expire(now)
	t.learnEra(now, end.Era)
	if err != nil || end.Era < t.era {
		t.delayRetry(now)
		return
	}
	t.retryAt, t.pause, t.unanswered, t.readAtOnce, t.renewalUnknown = 0, 0, false, false, false
	if end.Before(t.next) {
		// A peer told of a newer record meanwhile.
		return
	}
	if t.owns && record != nil && t.readOwnLease(*record, end) {
		return
	}
	freeAt, beganAt := t.datesAfterRead(now, record, end)
	if end == t.next && t.known {
		freeAt, beganAt = min(freeAt, t.freeAt), min(beganAt, t.beganAt)
	}
	t.setNewest(Holder{}, end, freeAt, beganAt)
	t.unowned = record == nil && end.Offset == 0 && end.Era <= firstEra
	if record == nil {
		return
	}
	t.holder, t.readInItsEra, t.withoutLease = record.Holder, record.Era == end.Era, record.Challenge || record.Era != end.Era
	switch {
	case record.Holder == t.self:
		t.extendOwn(end)
		t.yields = record.Challenge && t.yields
	case record.Era == end.Era:
		t.lose(LossSuperseded)
	}
}

// setNewest records what is known of the newest record.
func (t *Tenure) setNewest(h Holder, next topic.Position, freeAt, beganAt time.Duration) {
	t.next, t.known, t.holder, t.left, t.challenge = next, true, h, false, false
	t.freeAt, t.beganAt, t.unowned, t.readInItsEra, t.withoutLease = freeAt, beganAt, false, false, false
}

// firstEra is the highest era in which the store was not restored yet.
const firstEra = 1

// datesAfterRead returns freeAt and beganAt for the newest record, which a read found. Whoever holds a valid lease began its append
// before the read was answered.
func (t *Tenure) datesAfterRead(now time.Duration, record *OwnerRecord, end topic.Position) (freeAt, beganAt time.Duration) {
	switch {
	case record == nil && end.Offset == 0 && end.Era <= firstEra:
		return now, now
	case record == nil || record.Era != end.Era || record.Challenge:
		return now + TTL, now + TTL
	}
	beganAt = now - time.Duration(record.OwnedMS)*time.Millisecond
	switch {
	case record.Holder == t.self, record.Holder == t.lastLeft:
		return now, beganAt
	case record.ID == t.self.ID:
		// The earlier incarnation ended before this process started.
		return 0, min(beganAt, 0)
	case record.OwnedMS == 0:
		// The holder may not have got the answer of its first append yet.
		beganAt = now + TTL
	}
	return now + TTL, beganAt
}

// extendOwn takes an own record whose append got no answer. If it follows the other own records, no other instance was the
// owner in between.
func (t *Tenure) extendOwn(next topic.Position) {
	if t.ownNext.Offset > 0 && next == t.ownNext.Next() {
		t.ownNext = next
	}
}

// AppendResult is the result of an append.
type AppendResult struct {
	// StartedAt is when the call began, and At the position at which the topic had to end.
	StartedAt time.Duration
	At        topic.Position
	// End is the position behind the record, or the end of the topic if Conflict is true.
	End topic.Position
	// Conflict is true if the topic ended elsewhere, so that nothing was appended.
	Conflict bool
	// Failed is true if the result is unknown, or if the store refused the call.
	Failed bool
}

// AppendDone takes the result of an append.
func (t *Tenure) AppendDone(now time.Duration, r AppendResult) {
	t.calling = false
	t.expire(now)
	if r.Failed {
		t.unanswered = true
		t.delayRetry(now)
		t.keepUnansweredRenewal(now, r)
		return
	}
	t.retryAt, t.pause, t.renewalUnknown = 0, 0, false
	t.learnEra(now, r.End.Era)
	switch {
	case r.Conflict:
		t.conflicted(now, r)
	case r.End.Era != r.At.Era || r.End.Era < t.era || t.challenging:
		t.appendedWithoutLease(now, r.End)
	default:
		t.appended(now, r)
	}
}

// conflicted handles a refused append. The end of the topic tells that no record before it is valid for longer than TTL.
func (t *Tenure) conflicted(now time.Duration, r AppendResult) {
	// An append of this instance that got no answer may have been executed, or the last one of an owner that has left.
	readsAtOnce := t.owns || t.unanswered || t.left
	t.lose(LossConflict)
	if r.End.Before(t.next) || r.End.Era < t.era {
		return
	}
	if r.End == t.next && t.known && r.End != r.At {
		// A peer told of the newer record meanwhile.
		return
	}
	t.setNewest(Holder{}, r.End, now+TTL, now+TTL)
	if readsAtOnce {
		t.known, t.readAtOnce = false, true
		return
	}
	t.challenge, t.challengeAt = true, now+challengeDelay
	if t.challenging {
		// The owner renewed its lease since the conflict before. The end is known for a moment.
		t.challengeAt = now
	}
}

// appendedWithoutLease handles a challenge, and a record that was appended in a later era than expected. Another instance may be the
// owner, so the record proves nothing. A lease that is still valid in a later era is not affected: nobody became the owner since.
func (t *Tenure) appendedWithoutLease(now time.Duration, end topic.Position) {
	if end.Before(t.next) || end.Era < t.era {
		return
	}
	t.setNewest(t.self, end, now+TTL, now+TTL)
	t.renewAt, t.withoutLease = now, true
}

func (t *Tenure) appended(now time.Duration, r AppendResult) {
	t.unanswered = false
	if r.End.Before(t.next) {
		return
	}
	began := t.ownBeganAt
	continued := t.owns || t.ownNext.Offset > 0 && r.At == t.ownNext
	if !t.owns && !continued && t.renewing {
		// The lease ended before the record was appended, which tells others of an ownership that has ended.
		t.setNewest(t.self, r.End, now, now)
		return
	}
	wasOwner := t.owns
	if !t.owns {
		t.takeover = Takeover{From: t.holder, Continued: continued, SincePrevious: max(now-t.beganAt, 0)}
		if t.unowned {
			t.takeover.SincePrevious = -1
		}
	}
	if !continued {
		began = now
	}
	t.setNewest(t.self, r.End, r.StartedAt+TTL, began)
	t.owns, t.yields = !t.released && now < t.freeAt, false
	if t.owns && !wasOwner {
		t.takeovers++
	}
	if t.owns || continued {
		t.ownNext, t.ownBeganAt = r.End, began
		t.ownUntil, t.renewAt = t.freeAt, r.StartedAt+RenewInterval
	}
}

// CallFailed ends a call whose result could not be handled.
func (t *Tenure) CallFailed(now time.Duration) {
	if t.calling {
		t.calling, t.unanswered = false, true
		t.delayRetry(now)
	}
}

// delayRetry delays the next call after a failed one.
func (t *Tenure) delayRetry(now time.Duration) {
	t.pause = min(max(2*t.pause, minRetry), maxRetry)
	if t.owns {
		t.pause = minRetry
	}
	t.retryAt = now + t.pause
}
