package registry

import (
	"time"

	"github.com/basillink/basillink/internal/clock"
)

const (
	// OutageGracePeriod is how long targets whose entries expired during an outage of the store stay in use after the store
	// is back. Live targets register again within about two seconds. Until then the store may still remove entries.
	OutageGracePeriod = 2200 * time.Millisecond
	// OutageAfter is the gap between two known answers of the store from which on it counts as an outage. It leaves the
	// first three instances that try to read time to be refused. Entries of targets expire later.
	OutageAfter = 1800 * time.Millisecond
	// EntriesReturnWithin is how long after an outage the entries of all running targets are back in the store.
	EntriesReturnWithin = 2 * time.Second
	// evictionReadAge is how much older than the end of the grace period the latest applied read may be that decides which
	// targets are not back, if no read since all are back becomes known. The instances together read every 0.5 s, and one
	// that hears of no read reads for itself after about a second.
	evictionReadAge = 1200 * time.Millisecond
	// lateReadTime is how long after the end of the grace period an instance waits for such a read. Targets that departed
	// before the outage must be out of use 3 s after it.
	lateReadTime = 350 * time.Millisecond
)

// availability is what an instance knows of the answers of the store to any instance. An answer proves that the store was
// up at that time. A time without a known answer proves nothing: the store may have been down, or this instance was paused
// or cut off and has not heard of the answers yet. Knowledge of other instances can therefore only show an assumed outage to
// be none, or shorten it.
type availability struct {
	// since and until are the first and the latest known answer of the latest period without an outage. Since is zero
	// before the first answer.
	since, until time.Time
	// previousUntil is the latest known answer before since, zero if none is known: then no outage is assumed.
	previousUntil time.Time
	// restoredEra is the era that began when the store was restored from an older copy, and restoredAt is when that became known.
	// Both are zero if no restore is known.
	restoredEra int64
	restoredAt  time.Time
}

// restored records that an era was known at a time to have begun with a restore of the store.
func (a *availability) restored(era int64, at time.Time) {
	switch {
	case era == 0:
	case era > a.restoredEra:
		a.restoredEra, a.restoredAt = era, at
	case era == a.restoredEra:
		a.restoredAt = clock.Earlier(a.restoredAt, at)
	}
}

// restoredRecently reports whether a restore became known less than some time ago.
func (a *availability) restoredRecently(now time.Time, within time.Duration) bool {
	return !a.restoredAt.IsZero() && now.Sub(a.restoredAt) < within
}

// graceStart returns the end of the last outage or restore, since when targets can write missing entries again.
func (a *availability) graceStart() time.Time { return clock.Later(a.since, a.restoredAt) }

// merge adds a period in which the store answered. The period consists of a single read if until, the start of the read, is
// before since, the arrival of the answer.
func (a *availability) merge(since, until time.Time) {
	start := clock.Earlier(since, until)
	switch {
	case a.since.IsZero():
		a.since, a.until = since, until
	case start.Sub(a.until) > OutageAfter:
		a.since, a.until, a.previousUntil = since, until, a.until
	case a.since.Sub(until) > OutageAfter:
		a.previousUntil = clock.Later(a.previousUntil, until)
	default:
		a.since, a.until = clock.Earlier(a.since, since), clock.Later(a.until, until)
	}
	if a.previousUntil.After(a.since) {
		a.previousUntil = time.Time{}
	}
}

// silent reports whether the latest known answer is so old that the store may be down.
func (a *availability) silent(now time.Time) bool { return now.Sub(a.until) > OutageAfter }

// inGrace reports whether targets whose entries expired may still be in use: not enough time has passed since the last
// outage, or the entries that were read last are too old to tell.
func (a *availability) inGrace(now time.Time) bool {
	end := a.graceStart().Add(OutageGracePeriod)
	return now.Before(end.Add(lateReadTime)) || a.until.Before(end.Add(-evictionReadAge)) || a.silent(now)
}

// mayEvict reports whether records that were applied up to a time show which expired targets are not back.
func (a *availability) mayEvict(now, asOf time.Time) bool {
	end := a.graceStart().Add(OutageGracePeriod)
	if now.Before(end) || asOf.Before(end.Add(-evictionReadAge)) || a.silent(now) {
		return false
	}
	return !asOf.Before(a.entriesBackAt()) || !now.Before(end.Add(lateReadTime))
}

// entriesReturn reports whether targets may write entries again after a known outage or restore.
func (a *availability) entriesReturn(now time.Time) bool {
	known := !a.previousUntil.IsZero() || !a.restoredAt.IsZero()
	return known && now.Before(a.graceStart().Add(OutageGracePeriod+lateReadTime))
}

// entriesBackAt returns when the entries of all running targets are back after the last outage.
func (a *availability) entriesBackAt() time.Time { return a.graceStart().Add(EntriesReturnWithin) }

// graceLeft returns the rest of the grace period, or 0 while the latest known answer is old.
func (a *availability) graceLeft(now time.Time) time.Duration {
	if a.silent(now) {
		return 0
	}
	return max(a.graceStart().Add(OutageGracePeriod).Sub(now), time.Nanosecond)
}

func (a *availability) backdate(by time.Duration) {
	for _, t := range []*time.Time{&a.since, &a.until, &a.previousUntil, &a.restoredAt} {
		// A zero time is unknown, and stays so.
		if !t.IsZero() {
			*t = t.Add(-by)
		}
	}
}
