package registry

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Entries of running targets expire while the store is away, and are missing when it comes back from an older copy. Their
// targets stay in use for a grace period after the outage or restore.

// mayBeOutageEffect reports whether a removal that is read now and was made before a time may be the effect of an outage.
func (r *Registry) mayBeOutageEffect(now, removedBefore time.Time) bool {
	if r.store.restoredRecently(now, OutageGracePeriod) {
		return true
	}
	if r.store.silent(now) {
		return r.canHaveExpired(r.store.until, now)
	}
	return now.Sub(r.store.since) < OutageGracePeriod && r.canHaveExpired(r.store.previousUntil, removedBefore)
}

// canHaveExpired reports whether entries can have expired in an outage between two times. From is zero if it is unknown.
func (r *Registry) canHaveExpired(from, to time.Time) bool {
	return !from.IsZero() && to.Sub(from) >= r.expiryDelay
}

// retain marks a target as expired and keeps it in use for the grace period after the outage. A draining target, and any
// target if this instance knows that there was no outage, is marked as gone instead. It reports whether the usable targets
// changed.
func (r *Registry) retain(rec *record, c Change, now time.Time) bool {
	unknown := rec == nil || rec.presence == gone
	switch {
	case !r.store.inGrace(now):
		return markGone(rec, c, now)
	case unknown && c.Entry == nil:
		return false
	case rec != nil && unknown && rec.orderOf(c.Entry, r.evidence(now)) != newer:
		rec.position, rec.held = c.Position(), nil
		return false
	case unknown:
		if rec == nil {
			rec = &record{}
			r.records[c.ID] = rec
		}
		rec.use(newTarget(c.Entry, now), now)
	case rec.target.Draining:
		return markGone(rec, c, now)
	}
	rec.position, rec.presence, rec.held = c.Position(), expired, nil
	r.anyExpired = true
	return unknown
}

// EvictExpired removes the expired targets whose grace period has ended, and returns their ids. asOf is the latest time up to
// which all records were applied. It does nothing while that or the latest known answer of the store is old, because the
// targets may have registered again since.
func (r *Registry) EvictExpired(now, asOf time.Time) (evicted []string) {
	if !r.anyExpired || !r.store.mayEvict(now, asOf) {
		return nil
	}
	r.anyExpired = false
	for id, rec := range r.records {
		if rec.presence == expired {
			rec.presence = gone
			evicted = append(evicted, id)
		}
	}
	return evicted
}

// EntriesReturn reports whether targets may write entries again that the store lost in its last outage or restore.
func (r *Registry) EntriesReturn(now time.Time) bool { return r.store.entriesReturn(now) }

// ExpiredDecidedAt returns from when on a read shows which expired targets are back. It is zero if no target is expired.
func (r *Registry) ExpiredDecidedAt() time.Time {
	if !r.anyExpired {
		return time.Time{}
	}
	return r.store.entriesBackAt()
}

// IsBackSince reports whether an entry of a target was read behind a position, and is in use.
func (r *Registry) IsBackSince(id string, p topic.Position) bool {
	rec := r.records[id]
	return rec != nil && rec.presence == present && rec.position.After(p)
}

// Retained reports whether a target is in use although its entry has expired. remaining is the rest of the grace period, or
// 0 while the latest known answer of the store is old.
func (r *Registry) Retained(id string, now time.Time) (retained bool, remaining time.Duration) {
	rec := r.records[id]
	if rec == nil || rec.presence != expired {
		return false, 0
	}
	return true, r.store.graceLeft(now)
}
