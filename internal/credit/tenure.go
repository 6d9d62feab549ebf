package credit

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

const (
	// TTL is how long an owner record is valid, counted from the start of the call that appended it.
	TTL = 1500 * time.Millisecond
	// RenewInterval is the time between the starts of two appends of an owner.
	RenewInterval = 600 * time.Millisecond
	// RankStep is the additional wait of a candidate for each candidate before it.
	RankStep = 150 * time.Millisecond
	// minRetry and maxRetry bound the growing pause between two failed calls of a candidate. An owner retries after minRetry.
	minRetry = 300 * time.Millisecond
	maxRetry = 5 * time.Second
	// challengeDelay is how long a candidate waits for an announcement after a conflict, before it challenges an owner that nobody
	// hears. Announcements usually arrive within 100 ms.
	challengeDelay = 500 * time.Millisecond
	// minorityWait is the additional wait of a candidate that does not hear from the majority of the instances. Those may have an
	// owner, or become it before.
	minorityWait = 3 * time.Second
)

// Step is the call to the store that a Tenure is due to make.
type Step uint8

// Steps.
const (
	NoStep Step = iota
	// ReadStep reads the newest owner record. Pass the result to ReadDone.
	ReadStep
	// AppendStep appends the record of this instance at a position. Pass the result to AppendDone.
	AppendStep
)

// Loss is a reason for which an instance lost the ownership.
type Loss uint8

// Reasons, in the order of lossNames.
const (
	// LossExpired is a lease that was not renewed in time, or that is not needed anymore.
	LossExpired Loss = iota
	// LossConflict is an append that the store refused because the topic ends elsewhere.
	LossConflict
	// LossSuperseded is a newer record of another instance.
	LossSuperseded
	// LossReleased is a planned stop.
	LossReleased
	numLosses
)

var lossNames = [numLosses]string{"expired", "conflict", "superseded", "released"}

func (l Loss) String() string { return lossNames[l] }

// Takeover describes how an instance became the owner.
type Takeover struct {
	// From is the holder of the record before, the zero value if it is unknown or there was none.
	From Holder
	// SincePrevious is the time for which certainly no other ownership has begun. It is negative if there was none before.
	SincePrevious time.Duration
	// Continued is true if no other instance was the owner since this one, so that its ledger is still right.
	Continued bool
}

// Tenure decides when an instance reads and appends owner records, and whether it is the owner. At most one instance is the
// owner at a time: a record is valid for TTL from the start of its append, and another one is appended on condition that the
// topic still ends behind a record whose validity is certain to have ended.
//
// All times are of one clock that counts suspensions of the host. It is not safe for concurrent use.
type Tenure struct {
	self Holder

	// next is the position behind the newest known record. It is usable as the condition of an append if known is true.
	// holder is the holder of that record, and freeAt the time from which on the record is certainly invalid.
	next   topic.Position
	known  bool
	holder Holder
	freeAt time.Duration
	// beganAt is the latest time at which the ownership of the holder can have begun. unowned is true if there was no owner
	// yet.
	beganAt time.Duration
	unowned bool
	// left is true if the holder has released the ownership, and lastLeft is the last one that did.
	left     bool
	lastLeft Holder
	// era is the newest known era of the store.
	era int64

	owns     bool
	released bool
	// ownUntil is when the lease ends, and renewAt when it is to be renewed. They are set while owns is true.
	ownUntil, renewAt time.Duration
	// ownNext is the position behind the newest own record. Since the last takeover, all records before it are own ones. It is the
	// zero value if this instance was not the owner yet.
	ownNext topic.Position
	// ownBeganAt is when the ownership began that these records belong to.
	ownBeganAt time.Duration
	takeover   Takeover
	// takeovers counts the ownerships.
	takeovers int
	loss      Loss

	// sawMajority is true if this instance heard from the majority during the present ownership.
	sawMajority bool

	// challenge is true if somebody appended a record of which this instance has not heard since. It then challenges that owner at
	// challengeAt, if it hears from the majority.
	challenge   bool
	challengeAt time.Duration
	// challenging is true if the newest record to append is a challenge.
	challenging bool
	// renewing is true if the newest record to append was one of an owner.
	renewing bool
	// calling is true while a call is in progress.
	calling bool
	// unanswered is true if an append got no answer, so that it may still be executed.
	unanswered     bool
	retryAt, pause time.Duration
	// readAtOnce is true if the next read does not wait for the candidates before this one.
	readAtOnce bool
	// candidateSince is since when this instance may call the store, negative if it may not.
	candidateSince time.Duration
}

// NewTenure returns the tenure of an instance that is not the owner. The instance starts at the time 0.
func NewTenure(self Holder) *Tenure { return &Tenure{self: self, candidateSince: -1} }

// Situation is the input of Next.
type Situation struct {
	Now time.Duration
	// MayCall is true if credit is needed and this instance may call the store for it.
	MayCall bool
	// Rank is the number of instances that are to become the owner before this one.
	Rank int
	// Era is the newest known era of the store.
	Era int64
	// Minority is true if this instance does not hear from half of the instances that were live lately.
	Minority bool
}

// Next returns the call that is due, and for AppendStep the position at which the topic has to end.
func (t *Tenure) Next(s Situation) (Step, topic.Position) {
	t.learnEra(s.Now, s.Era)
	t.expire(s.Now)
	switch {
	case !s.MayCall || t.released:
		t.candidateSince = -1
		return NoStep, topic.Position{}
	case t.candidateSince < 0:
		t.candidateSince = s.Now
	}
	t.sawMajority = t.owns && (t.sawMajority || !s.Minority)
	if t.calling || s.Now < t.retryAt || s.Now < t.dueAt(s) || t.owns && t.sawMajority && s.Minority {
		return NoStep, topic.Position{}
	}
	t.calling = true
	if !t.known {
		return ReadStep, topic.Position{}
	}
	t.renewing, t.challenging = t.owns, !t.owns && s.Now < t.freeAt
	return AppendStep, t.next
}

// dueAt returns the time of the next call.
func (t *Tenure) dueAt(s Situation) time.Duration {
	wait := time.Duration(s.Rank) * RankStep
	if s.Minority {
		wait += minorityWait
	}
	switch {
	case t.owns:
		return t.renewAt
	case t.known && t.challenge && !s.Minority:
		return t.challengeAt + wait
	case !t.known && t.readAtOnce:
		return t.candidateSince
	case !t.known:
		return t.candidateSince + wait
	}
	return max(t.freeAt, t.candidateSince) + wait
}

// learnEra makes the position of an earlier era unusable. The offsets of a new era are given out again.
func (t *Tenure) learnEra(now time.Duration, era int64) {
	if era <= t.era {
		return
	}
	t.era = era
	if t.next.Era >= era {
		return
	}
	t.known, t.renewAt = false, now
	if t.candidateSince >= 0 {
		t.candidateSince = now
	}
}

// expire ends the ownership when the lease ends.
func (t *Tenure) expire(now time.Duration) {
	if t.owns && now >= t.ownUntil {
		t.lose(LossExpired)
	}
}

func (t *Tenure) lose(reason Loss) {
	if t.owns {
		t.owns, t.loss = false, reason
	}
}

// ReadDone takes the newest record and the end of the topic that a read found. The record is nil if there is none.
func (t *Tenure) ReadDone(now time.Duration, record *OwnerRecord, end topic.Position, err error) {
	t.calling = false
	t.expire(now)
	t.learnEra(now, end.Era)
	if err != nil || end.Era < t.era {
		t.delayRetry(now)
		return
	}
	t.retryAt, t.pause, t.unanswered, t.readAtOnce = 0, 0, false, false
	if end.Before(t.next) {
		// A peer told of a newer record meanwhile.
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
	t.holder = record.Holder
	switch {
	case record.Holder == t.self:
		t.extendOwn(end)
	case record.Era == end.Era:
		t.lose(LossSuperseded)
	}
}

// setNewest records what is known of the newest record.
func (t *Tenure) setNewest(h Holder, next topic.Position, freeAt, beganAt time.Duration) {
	t.next, t.known, t.holder, t.left, t.challenge = next, true, h, false, false
	t.freeAt, t.beganAt, t.unowned = freeAt, beganAt, false
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
		return
	}
	t.retryAt, t.pause = 0, 0
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
	t.renewAt = now
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
	t.owns = !t.released && now < t.freeAt
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

// Heard takes an announcement of a peer.
func (t *Tenure) Heard(now time.Duration, a Announcement) {
	t.expire(now)
	next := a.next()
	t.learnEra(now, next.Era)
	isOwn := a.holder() == t.self
	switch {
	case next.Era < t.era || next.Offset <= 0 || next.Before(t.next) || next == t.next && t.owns:
		return
	case t.owns && a.ID == "":
		// It may be an own record whose answer has not arrived yet.
		return
	case next == t.next && t.known:
		t.refine(now, a)
		return
	case t.owns && !isOwn && next.Era == t.ownNext.Era:
		t.lose(LossSuperseded)
	}
	t.setNewest(a.holder(), next, now+a.valid(), a.beganAt(now))
	t.setLeft(a)
	if isOwn {
		t.extendOwn(next)
	}
}

// refine takes what a peer knows of the newest known record. Each announced end is late by the time that it was on the way, so the
// earliest one holds.
func (t *Tenure) refine(now time.Duration, a Announcement) {
	t.freeAt, t.beganAt = min(t.freeAt, now+a.valid()), min(t.beganAt, a.beganAt(now))
	if t.holder.ID == "" && a.ID != "" {
		t.holder, t.challenge = a.holder(), false
	}
	t.setLeft(a)
}

// setLeft takes from an announcement that the holder has left.
func (t *Tenure) setLeft(a Announcement) {
	if a.Released {
		t.left, t.lastLeft = true, a.holder()
	}
}

// Release gives up the ownership and ends the tenure. It returns the announcement for the others, and false if this instance was
// not the owner.
func (t *Tenure) Release(now time.Duration) (Announcement, bool) {
	t.expire(now)
	t.released = true
	if !t.owns {
		return Announcement{}, false
	}
	t.lose(LossReleased)
	t.setNewest(t.self, t.ownNext, now, t.ownBeganAt)
	a, known := t.Announcement(now)
	t.left, a.Released = true, true
	return a, known
}

// Owns reports whether this instance is the owner, and until when it is if it does not renew the lease.
func (t *Tenure) Owns(now time.Duration) (until time.Duration, owns bool) {
	t.expire(now)
	return t.ownUntil, t.owns
}

// LastTakeover describes how this instance last became the owner.
func (t *Tenure) LastTakeover() Takeover { return t.takeover }

// Takeovers returns how often this instance became the owner.
func (t *Tenure) Takeovers() int { return t.takeovers }

// LastLoss returns why this instance last ceased to be the owner.
func (t *Tenure) LastLoss() Loss { return t.loss }

// Owner returns the instance that most likely is the owner, and false if none is known.
func (t *Tenure) Owner() (Holder, bool) {
	if t.left || t.holder.ID == "" {
		return Holder{}, false
	}
	return t.holder, true
}

// Announcement returns what this instance knows of the newest record, and false if it knows none.
func (t *Tenure) Announcement(now time.Duration) (Announcement, bool) {
	if !t.known || t.next.Offset == 0 {
		return Announcement{}, false
	}
	a := Announcement{ID: t.holder.ID, Address: t.holder.Address, Started: t.holder.Started, Era: t.next.Era, Next: t.next.Offset}
	a.ValidMS = wholeMilliseconds(t.freeAt - now + time.Millisecond - 1)
	a.OwnedMS = wholeMilliseconds(now - t.beganAt)
	return a, true
}

// Record returns the record to append at a position.
func (t *Tenure) Record(now time.Duration, at topic.Position) OwnerRecord {
	r := OwnerRecord{Holder: t.self, Era: at.Era, Challenge: t.challenging}
	if t.owns {
		r.OwnedMS = wholeMilliseconds(now - t.ownBeganAt)
	}
	return r
}
