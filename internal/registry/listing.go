package registry

import (
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Replace applies a complete listing of the records before a position, from the store or from another instance. Targets
// that are not listed are gone or have expired. It returns the ids of those that are gone, and reports whether anything
// changed.
func (r *Registry) Replace(changes []Change, next topic.Position, now time.Time) (departed []string, changed bool) {
	listed := map[string]bool{}
	for _, c := range changes {
		if c.Entry != nil {
			listed[c.ID] = true
		}
		if r.Merge(c, now) == Changed {
			changed = true
		}
	}
	for id, rec := range r.records {
		// The removal gets the position of the last record of the listing, because known records from next on are newer than
		// the listing.
		last := next.Previous()
		removal := Change{ID: id, Offset: last.Offset, Era: last.Era}
		// It may be much older than the listing, so that only an outage long enough for entries to expire in it counts.
		if !listed[id] && rec.presence == present && r.Merge(r.classify(removal, now, r.store.since), now) == Changed {
			departed = append(departed, id)
		}
		if !listed[id] && rec.position.Before(next) {
			rec.held = nil
		}
	}
	r.recordListing(next)
	return departed, changed || len(departed) > 0
}

// recordListing records that the records from readPosition to next are known from a listing only.
func (r *Registry) recordListing(next topic.Position) {
	if r.readPosition == (topic.Position{}) {
		r.completeFrom = next
	} else {
		r.completeFrom = topic.Later(r.completeFrom, r.gapTo)
		r.gapFrom, r.gapTo = r.readPosition, next
	}
	r.AdvanceReadPosition(next)
}

// knowsDeparturesFrom reports whether all departures since a position are known.
func (r *Registry) knowsDeparturesFrom(from topic.Position) bool {
	return !from.Before(r.completeFrom) && (!from.After(r.gapFrom) || !from.Before(r.gapTo))
}

// ChangesSince returns the records from a position on as changes, for an instance that has missed them. completeFrom is the
// position from which on they are complete. It is zero, and the changes contain all records, if departures since the requested
// position may be unknown.
func (r *Registry) ChangesSince(from topic.Position, now time.Time) (changes []Change, completeFrom topic.Position) {
	if !r.knowsDeparturesFrom(from) {
		from = topic.Position{}
	}
	for id, rec := range r.records {
		if rec.position.Before(from) {
			continue
		}
		change := r.describe(id, rec, now)
		change.Lapsed, change.Hold = r.Retained(id, now)
		changes = append(changes, change)
	}
	return changes, from
}

// Restored records that an era of the store was known at a time to have begun with a restore from an older copy. Targets whose
// entries are missing stay in use until they had time to write them again.
func (r *Registry) Restored(era int64, at time.Time) { r.store.restored(era, at) }

// LatestRestore returns the era that the last known restore of the store began, and when that became known. Both are zero if no
// restore is known.
func (r *Registry) LatestRestore() (era int64, at time.Time) {
	return r.store.restoredEra, r.store.restoredAt
}
