// Package storeread decides when an instance reads the topics of the platform's store, and records how far they were read: position,
// era and time. The instances read for each other, in the order of their ranks.
package storeread

import (
	"time"

	"github.com/basillink/basillink/internal/clock"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

const (
	// TargetsInterval is the time between two reads of the targets by the fleet. Departures and configurations must be applied
	// within 2 s after they were recorded in the store. If the instance of rank 0 does not read, that of rank 1 does so
	// FirstRankDelay later.
	TargetsInterval = 500 * time.Millisecond
	// ConfigsInterval is the time between two reads of the configurations by the fleet.
	ConfigsInterval = 800 * time.Millisecond
	// FirstRankDelay is how much longer than the instance of rank 0 that of rank 1 waits with its read.
	FirstRankDelay = 160 * time.Millisecond
	// NearRankStep is the additional wait of each further rank.
	NearRankStep = 90 * time.Millisecond
	// nearRanks is the number of ranks behind rank 1 that are NearRankStep apart. The ranks behind those are
	// farRankStep apart: they read only when the store refuses the first ones, and even then a departure has to be
	// known in time.
	nearRanks   = 3
	farRankStep = 40 * time.Millisecond
	// toleratedFailing is the number of failing instances up to which each of them delays the reads of the others by
	// toleratedFailingStep. Each further one delays them by furtherFailingStep, because then the store is probably down
	// for all.
	toleratedFailing     = 8
	toleratedFailingStep = 30 * time.Millisecond
	furtherFailingStep   = 300 * time.Millisecond
	// StoreAnswerValidity is how long an instance that the store answered ignores the failures of other instances.
	StoreAnswerValidity = 3 * time.Second
	// minBackoff is the shortest backoff after a failed read.
	minBackoff = 250 * time.Millisecond
	// MaxBackoff is the longest backoff after a failed read.
	MaxBackoff = 1500 * time.Millisecond
	// backoffPerFailing times the number of failing instances is the shortest first backoff, so that many of them make
	// few calls.
	backoffPerFailing = 300 * time.Millisecond
	// outageReadInterval is the time between two reads of the instance of rank 0 while the store seems down, and
	// maxOutageReads is how many of them may be in flight. Departures must be applied in time again 3 s after the store
	// returns, and targets with expired entries stay in use for registry.OutageGracePeriod after the first answer.
	outageReadInterval = 400 * time.Millisecond
	maxOutageReads     = 3
	// outageAfter is the age of the latest read at which the store counts as down.
	outageAfter = registry.OutageAfter
	// ExpiredReadMargin is how much later than necessary the targets are read to decide which expired ones are back. It
	// covers the differences between what instances know of the time at which the store returned.
	ExpiredReadMargin = 40 * time.Millisecond
)

// Topic holds how far one topic of the store was read, and schedules the reads: an instance reads when the age of
// the latest read by any instance exceeds a wait that grows with its rank. This needs no agreement, because the age
// keeps growing while the instances before it do not read.
type Topic struct {
	// interval is the time between two reads by the fleet.
	interval time.Duration
	// AsOf is the latest time at which an instance is known to have read the topic to its end, and Answer the id of the
	// answer that it got.
	AsOf   time.Time
	Answer AnswerID
	// reader is the hash of this incarnation, and ownAnswers the number of its reads that succeeded.
	reader, ownAnswers uint32
	answerTimes        answerTimes
	// Next is the position to read on from.
	Next topic.Position
	// Known is true once the topic was listed in the store or received from a peer.
	Known bool
	// Behind is true when a peer has records that this instance lacks, and PeersFailed is true after a fetch of a
	// peer's state failed.
	Behind      bool
	PeersFailed bool
	// Relist is true when records before Next may be missing, so that the topic has to be listed.
	Relist bool
	// readsInFlight is the number of reads in flight, and lastReadAt is the start of the latest one.
	readsInFlight int
	lastReadAt    time.Time
	retryAt       time.Time
	backoff       time.Duration
}

// NewTopic returns a topic of which nothing was read. reader identifies this incarnation of the instance.
func NewTopic(interval time.Duration, reader uint32) Topic {
	return Topic{interval: interval, reader: reader, answerTimes: answerTimes{}}
}

// Reading reports whether a read is in flight.
func (t *Topic) Reading() bool { return t.readsInFlight > 0 }

// HasFailed reports whether the latest read of this instance failed.
func (t *Topic) HasFailed() bool { return t.backoff > 0 }

// DelayRetry delays the next read by the shortest backoff.
func (t *Topic) DelayRetry(now time.Time) { t.retryAt = clock.Later(t.retryAt, now.Add(minBackoff)) }

// DateAnswer returns the time of an answer that this instance hears of at a time, which is earlier if it heard of it before.
func (t *Topic) DateAnswer(answer AnswerID, at time.Time) time.Time {
	return t.answerTimes.date(answer, at)
}

// Backdate moves the times of answers back by the length of a suspension.
func (t *Topic) Backdate(by time.Duration) {
	t.AsOf = t.AsOf.Add(-by)
	t.answerTimes.backdate(by)
}

// Priority determines when an instance reads the store.
type Priority struct {
	// Rank is the number of instances that read before this one. IsLeader is true for the leader of a zone.
	Rank     int
	IsLeader bool
	// FirstRead is the time of the first read of a topic that is not known yet.
	FirstRead time.Time
	// Failing is the number of instances whose reads fail. StoreAnsweredAt is the start of the latest read of any topic
	// that the store answered to this instance.
	Failing         int
	StoreAnsweredAt time.Time
	// RequiredAsOf is a time since which the topic has to be read, whatever its interval, or zero.
	RequiredAsOf time.Time
	// AwaitsPeer is true while the topic is fetched from a peer that listed it in a newer era.
	AwaitsPeer bool
	// HeldAt is the latest time at which the topic was not read because another one showed that the store does not answer.
	// Each rank waits from then on: all are overdue once it answers again.
	HeldAt time.Time
}

// Due reports whether this instance should read now. Leaders read missing records at once; the others first fetch them
// from peers, because each call to the store is billed. The more instances fail to read, the later others try.
func (t *Topic) Due(now time.Time, priority Priority) bool {
	if priority.AwaitsPeer && !t.Relist {
		return false
	}
	if priority.Rank == 0 && t.awaitsStoreReturn(now) {
		return t.readsInFlight < maxOutageReads && now.Sub(t.lastReadAt) >= outageReadInterval
	}
	if t.readsInFlight > 0 || now.Before(t.retryAt) {
		return false
	}
	if t.Relist || (priority.IsLeader || t.PeersFailed) && (!t.Known || t.Behind) {
		return true
	}
	if !t.Known {
		return !now.Before(priority.FirstRead)
	}
	wait := rankDelay(priority.Rank)
	if now.Sub(priority.HeldAt) < wait {
		return false
	}
	if t.backoff == 0 && now.Sub(priority.StoreAnsweredAt) > StoreAnswerValidity {
		wait += failureDelay(priority.Failing)
	}
	return now.Sub(t.AsOf) >= t.interval+wait || t.AsOf.Before(priority.RequiredAsOf) && now.Sub(priority.RequiredAsOf) >= wait
}

// awaitsStoreReturn reports whether the store seems down, so that the instance of rank 0 polls for its return.
func (t *Topic) awaitsStoreReturn(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.AsOf) > outageAfter
}

// ReadStarted records the start of a read.
func (t *Topic) ReadStarted(now time.Time) {
	t.readsInFlight++
	t.lastReadAt = now
}

// ReadEnded records the end of a read, whatever its result.
func (t *Topic) ReadEnded() { t.readsInFlight = max(t.readsInFlight-1, 0) }

// rankDelay returns how much longer than rank 0 an instance waits.
func rankDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	behind := rank - 1
	near := min(behind, nearRanks)
	return FirstRankDelay + time.Duration(near)*NearRankStep + time.Duration(behind-near)*farRankStep
}

// failureDelay returns how much longer an instance waits while reads of others fail.
func failureDelay(failing int) time.Duration {
	tolerated := min(failing, toleratedFailing)
	return time.Duration(tolerated)*toleratedFailingStep + time.Duration(failing-tolerated)*furtherFailingStep
}

// ReadSucceeded records the success of a read. next is the position to read on from.
func (t *Topic) ReadSucceeded(startedAt time.Time, next topic.Position) {
	t.ReadEnded()
	t.Behind, t.PeersFailed, t.Known = false, false, true
	t.backoff = 0
	t.Next = topic.Later(t.Next, next)
	t.ownAnswers++
	t.Refresh(startedAt, AnswerID{Reader: t.reader, Number: t.ownAnswers})
}

// IsFailing reports whether reads of this instance fail while nobody else reads the topic either. An instance that the
// store refuses while others read does not count, because nobody has to wait for it.
func (t *Topic) IsFailing(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.AsOf) >= t.interval
}

// Refresh records that an instance had read the topic to its end at a time.
func (t *Topic) Refresh(asOf time.Time, answer AnswerID) {
	if asOf = t.answerTimes.date(answer, asOf); asOf.After(t.AsOf) {
		t.AsOf, t.Answer = asOf, answer
	}
}

// ReadFailed records a failed read while a number of other instances fail as well. The jitter, between 0 and 1, spreads
// the retries of instances.
func (t *Topic) ReadFailed(now time.Time, jitter float64, failing int) {
	t.ReadEnded()
	first := max(minBackoff, time.Duration(failing)*backoffPerFailing)
	t.backoff = min(max(2*t.backoff, first), MaxBackoff)
	t.retryAt = now.Add(t.backoff/2 + time.Duration(jitter*float64(t.backoff)))
}
