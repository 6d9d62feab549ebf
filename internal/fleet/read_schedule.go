package fleet

import (
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

const (
	// targetsReadInterval and configsReadInterval are the times between two reads of a topic by the fleet. Departures
	// and configurations must be applied within 2 s after they were recorded in the store. If the instance of rank 0
	// does not read, that of rank 1 does so firstRankDelay later.
	targetsReadInterval = 500 * time.Millisecond
	configsReadInterval = 800 * time.Millisecond
	// firstRankDelay is how much longer than the instance of rank 0 that of rank 1 waits with its read, and
	// nearRankStep is the additional wait of each further rank.
	firstRankDelay = 160 * time.Millisecond
	nearRankStep   = 90 * time.Millisecond
	// nearRanks is the number of ranks behind rank 1 that are nearRankStep apart. The ranks behind those are
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
	// storeAnswerValidity is how long an instance that the store answered ignores the failures of other instances.
	storeAnswerValidity = 3 * time.Second
	// minReadBackoff and maxReadBackoff bound the backoff after a failed read.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 1500 * time.Millisecond
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
	// expiredReadMargin is how much later than necessary the targets are read to decide which expired ones are back. It
	// covers the differences between what instances know of the time at which the store returned.
	expiredReadMargin = 40 * time.Millisecond
)

// topicState holds how far one topic of the store was read, and schedules the reads: an instance reads when the age of
// the latest read by any instance exceeds a wait that grows with its rank. This needs no agreement, because the age
// keeps growing while the instances before it do not read.
type topicState struct {
	// interval is the time between two reads by the fleet.
	interval time.Duration
	// asOf is the latest time at which an instance is known to have read the topic to its end, and answer the id of the
	// answer that it got.
	asOf   time.Time
	answer answerID
	// reader is the hash of this incarnation, and ownAnswers the number of its reads that succeeded.
	reader, ownAnswers uint32
	answerTimes        answerTimes
	// next is the position to read on from.
	next topic.Position
	// known is true once the topic was listed in the store or received from a peer.
	known bool
	// behind is true when a peer has records that this instance lacks, and peersFailed is true after a fetch of a
	// peer's state failed.
	behind      bool
	peersFailed bool
	// relist is true when records before next may be missing, so that the topic has to be listed.
	relist bool
	// readsInFlight is the number of reads in flight, and lastReadAt is the start of the latest one.
	readsInFlight int
	lastReadAt    time.Time
	retryAt       time.Time
	backoff       time.Duration
}

func newTopicState(interval time.Duration, self discovery.Member) topicState {
	return topicState{interval: interval, reader: readerHash(self), answerTimes: answerTimes{}}
}

// backdate moves the times of answers back by the length of a suspension.
func (t *topicState) backdate(by time.Duration) {
	t.asOf = t.asOf.Add(-by)
	t.answerTimes.backdate(by)
}

// readPriority determines when an instance reads the store.
type readPriority struct {
	// rank is the number of instances that read before this one. isLeader is true for the leader of a zone.
	rank     int
	isLeader bool
	// firstRead is the time of the first read of a topic that is not known yet.
	firstRead time.Time
	// failing is the number of instances whose reads fail. storeAnsweredAt is the start of the latest read of any topic
	// that the store answered to this instance.
	failing         int
	storeAnsweredAt time.Time
	// requiredAsOf is a time since which the topic has to be read, whatever its interval, or zero.
	requiredAsOf time.Time
	// awaitsPeer is true while the topic is fetched from a peer that listed it in a newer era.
	awaitsPeer bool
	// heldAt is the latest time at which the topic was not read because another one showed that the store does not answer.
	// Each rank waits from then on: all are overdue once it answers again.
	heldAt time.Time
}

// due reports whether this instance should read now. Leaders read missing records at once; the others first fetch them
// from peers, because each call to the store is billed. The more instances fail to read, the later others try.
func (t *topicState) due(now time.Time, priority readPriority) bool {
	if priority.awaitsPeer && !t.relist {
		return false
	}
	if priority.rank == 0 && t.awaitsStoreReturn(now) {
		return t.readsInFlight < maxOutageReads && now.Sub(t.lastReadAt) >= outageReadInterval
	}
	if t.readsInFlight > 0 || now.Before(t.retryAt) {
		return false
	}
	if t.relist || (priority.isLeader || t.peersFailed) && (!t.known || t.behind) {
		return true
	}
	if !t.known {
		return !now.Before(priority.firstRead)
	}
	wait := rankDelay(priority.rank)
	if now.Sub(priority.heldAt) < wait {
		return false
	}
	if t.backoff == 0 && now.Sub(priority.storeAnsweredAt) > storeAnswerValidity {
		wait += failureDelay(priority.failing)
	}
	return now.Sub(t.asOf) >= t.interval+wait || t.asOf.Before(priority.requiredAsOf) && now.Sub(priority.requiredAsOf) >= wait
}

// awaitsStoreReturn reports whether the store seems down, so that the instance of rank 0 polls for its return.
func (t *topicState) awaitsStoreReturn(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.asOf) > outageAfter
}

// readStarted records the start of a read.
func (t *topicState) readStarted(now time.Time) {
	t.readsInFlight++
	t.lastReadAt = now
}

// readEnded records the end of a read, whatever its result.
func (t *topicState) readEnded() { t.readsInFlight = max(t.readsInFlight-1, 0) }

// rankDelay returns how much longer than rank 0 an instance waits.
func rankDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	behind := rank - 1
	near := min(behind, nearRanks)
	return firstRankDelay + time.Duration(near)*nearRankStep + time.Duration(behind-near)*farRankStep
}

// failureDelay returns how much longer an instance waits while reads of others fail.
func failureDelay(failing int) time.Duration {
	tolerated := min(failing, toleratedFailing)
	return time.Duration(tolerated)*toleratedFailingStep + time.Duration(failing-tolerated)*furtherFailingStep
}

// readSucceeded records the success of a read. next is the position to read on from.
func (t *topicState) readSucceeded(startedAt time.Time, next topic.Position) {
	t.readEnded()
	t.behind, t.peersFailed, t.known = false, false, true
	t.backoff = 0
	t.next = topic.Later(t.next, next)
	t.ownAnswers++
	t.refresh(startedAt, answerID{Reader: t.reader, Number: t.ownAnswers})
}

// isFailing reports whether reads of this instance fail while nobody else reads the topic either. An instance that the
// store refuses while others read does not count, because nobody has to wait for it.
func (t *topicState) isFailing(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.asOf) >= t.interval
}

// refresh records that an instance had read the topic to its end at a time.
func (t *topicState) refresh(asOf time.Time, answer answerID) {
	if asOf = t.answerTimes.date(answer, asOf); asOf.After(t.asOf) {
		t.asOf, t.answer = asOf, answer
	}
}

// readFailed records a failed read while a number of other instances fail as well. The jitter, between 0 and 1, spreads
// the retries of instances.
func (t *topicState) readFailed(now time.Time, jitter float64, failing int) {
	t.readEnded()
	first := max(minReadBackoff, time.Duration(failing)*backoffPerFailing)
	t.backoff = min(max(2*t.backoff, first), maxReadBackoff)
	t.retryAt = now.Add(t.backoff/2 + time.Duration(jitter*float64(t.backoff)))
}
