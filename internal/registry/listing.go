package registry

import "time"

// Replace applies a complete listing of the records before offset next, from the store or from another instance. Targets
// that are not listed are gone or have expired. It returns the ids of those that are gone, and reports whether anything
// changed.
func (r *Registry) Replace(changes []Change, next int64, now time.Time) (departed []string, changed bool) {
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
		// The removal gets the offset of the last record of the listing, because known records from next on are newer than
		// the listing.
		removal := Change{ID: id, Offset: next - 1}
		// It may be much older than the listing, so that only an outage long enough for entries to expire in it counts.
		if !listed[id] && rec.presence == present && r.Merge(r.classify(removal, now, r.store.since), now) == Changed {
			departed = append(departed, id)
		}
		if !listed[id] && rec.offset < next {
			rec.held = nil
		}
	}
	r.recordListing(next)
	return departed, changed || len(departed) > 0
}

// recordListing records that the records from readOffset to next are known from a listing only.
func (r *Registry) recordListing(next int64) {
	if r.readOffset == 0 {
		r.completeFrom = next
	} else {
		r.completeFrom = max(r.completeFrom, r.gapTo)
		r.gapFrom, r.gapTo = r.readOffset, next
	}
	r.AdvanceReadOffset(next)
}

// knowsDeparturesFrom reports whether all departures since an offset are known.
func (r *Registry) knowsDeparturesFrom(from int64) bool {
	return from >= r.completeFrom && (from <= r.gapFrom || from >= r.gapTo)
}

// ChangesSince returns the records from an offset on as changes, for an instance that has missed them. completeFrom is the
// offset from which on they are complete. It is 0, and the changes contain all records, if departures since the requested
// offset may be unknown.
func (r *Registry) ChangesSince(from int64, now time.Time) (changes []Change, completeFrom int64) {
	if !r.knowsDeparturesFrom(from) {
		from = 0
	}
	for id, rec := range r.records {
		if rec.offset < from {
			continue
		}
		change := r.describe(id, rec, now)
		change.Lapsed, change.Hold = r.Retained(id, now)
		changes = append(changes, change)
	}
	return changes, from
}
