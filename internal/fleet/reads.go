package fleet

import "time"

const (
	// targetsInterval and configsInterval are the times between two reads of a topic by the fleet. A departure and a
	// configuration bind within 2 s of their record, and the next in line reads standbyDelay later.
	targetsInterval = 500 * time.Millisecond
	configsInterval = 800 * time.Millisecond
	// standbyDelay and standbyStep are how much longer those wait who read only when nobody before them does.
	standbyDelay = 160 * time.Millisecond
	standbyStep  = 90 * time.Millisecond
	// firstInLine is the number of places in line that are standbyStep apart. Those behind them are memberStep apart: they read only when
	// the store turns the first ones away, and a departure has to be known in time even then.
	firstInLine = 3
	memberStep  = 40 * time.Millisecond
	// hopefulFailures is the number of instances that try in vain up to which each of them delays the others by failedStep. Each further
	// one delays them by failingStep, because the store then probably serves nobody.
	hopefulFailures = 8
	failedStep      = 30 * time.Millisecond
	failingStep     = 300 * time.Millisecond
	// servedFor is how long an instance that the store answered need not wait for those that it turns away.
	servedFor = 3 * time.Second
	// firstBackoff and lastBackoff bound the pause after a failed read.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
	// sharedBackoff is how much longer the first pause is for each instance that fails, so that many in line cost few calls.
	sharedBackoff = 300 * time.Millisecond
	// watchInterval is the time between two reads of the first in line while the store seems away, and watchReads how many of them may wait
	// for an answer. Departures bind again 3 s after the return, and what lapsed stays in use for LapseGrace after the first answer.
	watchInterval = 400 * time.Millisecond
	watchReads    = 3
	// outageAfter is the age of the latest read at which the store counts as unavailable. It leaves the first three in line
	// time to be turned away. Entries of targets lapse after 4.5 s at the earliest.
	outageAfter = 1800 * time.Millisecond
)

// topicReads schedules the reads of one topic: the instance whose turn it is reads when what the fleet knows has become
// old enough. Nobody has to agree on whose turn it is, because an instance that does not read lets the age grow.
type topicReads struct {
	// interval is the time between two reads.
	interval time.Duration
	// asOf is when the store was last known to have been read to its end, by any instance.
	asOf time.Time
	// next is the offset to read on from.
	next int64
	// known is true once the topic was listed or taken over from a peer.
	known bool
	// behind is true when a peer knows of records that this instance lacks, and alone when no peer could tell them.
	behind bool
	alone  bool
	// reading is the number of reads that are under way, and began when the last of them began.
	reading int
	began   time.Time
	retryAt time.Time
	backoff time.Duration
}

// turn is what decides when an instance reads.
type turn struct {
	// rank is the number of instances that read before this one, and reader is true when it reads its zone.
	rank   int
	reader bool
	// first is when a topic is read that is not known yet.
	first time.Time
	// failing is the number of instances that are known to try in vain, and served is when the store last answered this one,
	// about any topic.
	failing int
	served  time.Time
}

// due reports whether this instance should read now. Readers of zones read at once what they lack; the others ask them
// first, because each call to the store is paid for. The more instances try in vain, the later others join them.
func (t *topicReads) due(now time.Time, turn turn) bool {
	if turn.rank == 0 && t.watches(now) {
		return t.reading < watchReads && now.Sub(t.began) >= watchInterval
	}
	if t.reading > 0 || now.Before(t.retryAt) {
		return false
	}
	if (turn.reader || t.alone) && (!t.known || t.behind) {
		return true
	}
	if !t.known {
		return !now.Before(turn.first)
	}
	wait := t.interval + placeDelay(turn.rank)
	if t.backoff == 0 && now.Sub(turn.served) > servedFor {
		wait += failureDelay(turn.failing)
	}
	return now.Sub(t.asOf) >= wait
}

// watches reports whether the store seems away, so that the first in line watches for its return.
func (t *topicReads) watches(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.asOf) > outageAfter
}

// begin notes that a read begins.
func (t *topicReads) begin(now time.Time) {
	t.reading++
	t.began = now
}

// end notes that a read has ended.
func (t *topicReads) end() { t.reading = max(t.reading-1, 0) }

// placeDelay is how much longer an instance waits than the first in line.
func placeDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	behind := rank - 1
	near := min(behind, firstInLine)
	return standbyDelay + time.Duration(near)*standbyStep + time.Duration(behind-near)*memberStep
}

// failureDelay is how much longer an instance waits while others try in vain.
func failureDelay(failing int) time.Duration {
	hopeful := min(failing, hopefulFailures)
	return time.Duration(hopeful)*failedStep + time.Duration(failing-hopeful)*failingStep
}

// succeeded notes a read that began at a time.
func (t *topicReads) succeeded(began time.Time, next int64) {
	t.end()
	t.behind, t.alone, t.known = false, false, true
	t.backoff = 0
	t.next = max(t.next, next)
	t.fresh(began)
}

// failing reports whether this instance tries to read in vain what nobody else reads. One that the store turns away while
// others read does not count: nobody has to wait for it.
func (t *topicReads) failing(now time.Time) bool {
	return t.backoff > 0 && now.Sub(t.asOf) >= t.interval
}

// fresh notes that some instance knew everything at a time.
func (t *topicReads) fresh(asOf time.Time) {
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
}

// failed notes a read without an answer, while a number of other instances fail. The jitter, between 0 and 1, keeps instances apart.
func (t *topicReads) failed(now time.Time, jitter float64, failing int) {
	t.end()
	first := max(firstBackoff, time.Duration(failing)*sharedBackoff)
	t.backoff = min(max(2*t.backoff, first), lastBackoff)
	t.retryAt = now.Add(t.backoff/2 + time.Duration(jitter*float64(t.backoff)))
}
