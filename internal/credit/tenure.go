package credit

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

const (
	// TTL is how long an owner record is valid, counted from the start of the call that appended it.
	TTL = 2 * time.Second
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
	// yieldWait is the additional wait of an owner that lost the ownership to a record of another instance. That one would lose a race
	// against it otherwise, if nobody hears the former owner.
	yieldWait = time.Second
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
	// readInItsEra is true if this instance read the newest record in the era in which it was written.
	readInItsEra bool
	// withoutLease is true if the newest record made nobody the owner, so that an earlier holder may have a lease until freeAt.
	withoutLease bool
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

	// yields is true if the last ownership was lost to a record of another instance.
	yields bool
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
	unanswered bool
	// renewal is the earliest append at its position that got no answer, and renewalUnknown is true until a read tells whether it was
	// executed.
	renewal        unansweredAppend
	renewalUnknown bool
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
	if !t.known || t.checksRenewal() {
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
	if t.yields {
		wait += yieldWait
	}
	switch {
	case t.owns:
		return t.renewAt
	case t.known && t.challenge && !s.Minority:
		return t.challengeAt + wait
	case !t.known && t.readAtOnce, t.checksRenewal():
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
		t.yields = reason == LossConflict || reason == LossSuperseded
	}
}

// Record returns the record to append at a position.
func (t *Tenure) Record(now time.Duration, at topic.Position) OwnerRecord {
	r := OwnerRecord{Holder: t.self, Era: at.Era, Challenge: t.challenging}
	if t.owns {
		r.OwnedMS = wholeMilliseconds(now - t.ownBeganAt)
	}
	return r
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
