// Package registry keeps what is known of the targets: which incarnations exist, which are leaving, and which entries
// lapsed while the store was away. It decides and does no input or output; the caller passes the time.
package registry

import (
	"slices"
	"strings"
	"time"
)

// LapseGrace is how long the targets whose entries lapsed during an outage of the store stay in use after its return.
// Living targets are registered again within about two seconds.
const LapseGrace = 2200 * time.Millisecond

// disturbedAfter is how long after an outage lapsed entries may still be appended.
const disturbedAfter = 700 * time.Millisecond

// Entry is what a target says of itself.
type Entry struct {
	ID      string
	Address string
	Zone    string
	Service string
	Version string
	// Slots is the number of requests that the target runs at the same time.
	Slots    int
	Draining bool
	// WarmupLeft is how much longer the target is slow after its start.
	WarmupLeft time.Duration
	// Born is the start of the incarnation as Unix time in ms.
	Born int64
}

// Change is one record of the store about a target. Entry is nil when the target is gone or its record names no target
// that can be used.
type Change struct {
	ID     string
	Offset int64
	Entry  *Entry
}

// Target is one usable target.
type Target struct {
	Entry
	// WarmUntil is when the target reaches its usual speed.
	WarmUntil time.Time
}

// presence is what the records of a target say about it.
type presence int

const (
	present presence = iota
	// lapsed entries are missing for a reason that may be an outage of the store.
	lapsed
	// gone targets are remembered by offset, so that an older record that arrives late does not bring them back.
	gone
)

type record struct {
	offset   int64
	target   Target
	presence presence
}

// Registry is not safe for concurrent use.
type Registry struct {
	records map[string]*record
	// outageEnd is when the store last answered again after an outage, zero without one.
	outageEnd time.Time
	down      bool
	// readTo is the offset up to which all records were taken over. An older record of a target that is not known is one of a
	// target that has left since.
	readTo int64
	// completeFrom is the offset from which on every departure is known, apart from those between gapFrom and gapTo. A target that left
	// unseen before a listing is missing there without a record.
	completeFrom, gapFrom, gapTo int64
	// anyLapsed is true when a target may be lapsed.
	anyLapsed bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: map[string]*record{}} }

// ReadTo notes that all records before an offset were taken over.
func (r *Registry) ReadTo(offset int64) { r.readTo = max(r.readTo, offset) }

// StoreDown notes that the store does not answer.
func (r *Registry) StoreDown() { r.down = true }

// StoreUp notes that the store answers.
func (r *Registry) StoreUp(now time.Time) {
	if r.down {
		r.down = false
		r.outageEnd = now
	}
}

// Apply takes over one change. It reports whether the set of usable targets or what is known of one changed.
func (r *Registry) Apply(c Change, now time.Time) bool {
	known := r.records[c.ID]
	if known != nil && c.Offset <= known.offset || known == nil && c.Offset < r.readTo {
		return false
	}
	if c.Entry == nil {
		return r.remove(known, c, now)
	}
	target := Target{Entry: *c.Entry}
	if c.Entry.WarmupLeft > 0 {
		target.WarmUntil = now.Add(c.Entry.WarmupLeft)
	}
	r.records[c.ID] = &record{offset: c.Offset, target: target}
	return known == nil || known.presence != present || differs(known.target, target)
}

func differs(a, b Target) bool {
	a.WarmupLeft, b.WarmupLeft = 0, 0
	return a.Entry != b.Entry
}

func (r *Registry) remove(known *record, c Change, now time.Time) bool {
	if known == nil || known.presence == gone {
		return false
	}
	known.offset = c.Offset
	if r.disturbed(now) && !known.target.Draining {
		known.presence = lapsed
		r.anyLapsed = true
		return false
	}
	known.presence = gone
	return true
}

// disturbed reports whether a missing entry may be the effect of an outage.
func (r *Registry) disturbed(now time.Time) bool {
	return r.down || !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < disturbedAfter
}

// Replace takes over a complete listing of the records before an offset. Targets that it lacks are gone, or have lapsed. It
// reports whether anything changed.
func (r *Registry) Replace(changes []Change, next int64, now time.Time) bool {
	listed := map[string]bool{}
	changed := false
	for _, c := range changes {
		if c.Entry != nil {
			listed[c.ID] = true
		}
		if r.Apply(c, now) {
			changed = true
		}
	}
	for id, known := range r.records {
		// The listing says that the target is gone, so that the departure has the offset of its last record.
		missing := Change{ID: id, Offset: max(known.offset, next-1)}
		if !listed[id] && known.presence == present && r.remove(known, missing, now) {
			changed = true
		}
	}
	r.noteListing(next)
	return changed
}

// noteListing notes that the records before an offset are known by a listing only.
func (r *Registry) noteListing(next int64) {
	if r.readTo == 0 {
		r.completeFrom = next
	} else {
		r.completeFrom = max(r.completeFrom, r.gapTo)
		r.gapFrom, r.gapTo = r.readTo, next
	}
	r.ReadTo(next)
}

// knowsDepartures reports whether every departure from an offset on is known.
func (r *Registry) knowsDepartures(from int64) bool {
	return from >= r.completeFrom && (from <= r.gapFrom || from >= r.gapTo)
}

// Expire removes lapsed targets that did not come back. It reports whether anything changed.
func (r *Registry) Expire(now time.Time) bool {
	if !r.anyLapsed || r.down || now.Sub(r.outageEnd) < LapseGrace {
		return false
	}
	r.anyLapsed = false
	changed := false
	for _, known := range r.records {
		if known.presence == lapsed {
			known.presence = gone
			changed = true
		}
	}
	return changed
}

// Drop removes a target that another party proved to be gone, for example because its address answers for another
// incarnation. A later record brings it back.
func (r *Registry) Drop(id string) bool {
	known := r.records[id]
	if known == nil || known.presence == gone {
		return false
	}
	known.presence = gone
	return true
}

// Usable returns the targets that may receive requests, ordered by id.
func (r *Registry) Usable() []Target {
	var targets []Target
	for _, known := range r.records {
		if known.presence != gone && !known.target.Draining {
			targets = append(targets, known.target)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// Changes returns what is known from an offset on as changes, for an instance that lacks it, and the offset from which on they are
// complete: 0, with everything that is known, if departures since the asked one may be unknown.
func (r *Registry) Changes(from int64) (changes []Change, completeFrom int64) {
	if !r.knowsDepartures(from) {
		from = 0
	}
	for id, known := range r.records {
		if known.offset < from {
			continue
		}
		change := Change{ID: id, Offset: known.offset}
		if known.presence != gone {
			entry := known.target.Entry
			change.Entry = &entry
		}
		changes = append(changes, change)
	}
	return changes, from
}
