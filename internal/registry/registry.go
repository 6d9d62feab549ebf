// Package registry keeps what is known of the targets: which incarnations exist, which are leaving, and which entries
// lapsed while the store was away. It decides and does no input or output; the caller passes the time.
package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// OutageGracePeriod is how long the targets whose entries lapsed during an outage of the store stay in use after its return.
// Living targets are registered again within about two seconds.
const OutageGracePeriod = 2200 * time.Millisecond

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
	// Sequence orders what the incarnation says of itself, 0 if that is not known.
	Sequence int64
}

// Change is one record of the store about a target. Entry is nil when the target is gone or its record names no target
// that can be used.
type Change struct {
	ID     string
	Offset int64
	Entry  *Entry
	// Lapsed is set by an instance that passes a removal on which may be the effect of an outage. Entry is then what the target said
	// last, or nil, and Hold how much longer the target stays in use, 0 while the store is away.
	Lapsed bool
	Hold   time.Duration
}

// Target is one usable target.
type Target struct {
	Entry
	// WarmupEnd is when the target reaches its usual speed.
	WarmupEnd time.Time
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
	// heldUntil is how long a lapsed target stays in use, zero while the store is away.
	heldUntil time.Time
}

// Registry is not safe for concurrent use.
type Registry struct {
	records map[string]*record
	// outageEnd is when the store last answered again after an outage, zero without one.
	outageEnd time.Time
	down      bool
	// outageBegin is when the store last answered before the outage, and lapseAfter how long after that the first entry can lapse.
	outageBegin time.Time
	lapseAfter  time.Duration
	// readTo is the offset up to which all records were taken over. An older record of a target that is not known is one of a
	// target that has left since.
	readTo int64
	// completeFrom is the offset from which on every departure is known, apart from those between gapFrom and gapTo. A target that left
	// unseen before a listing is missing there without a record.
	completeFrom, gapFrom, gapTo int64
	// anyLapsed is true when a target may be lapsed.
	anyLapsed bool
}

// silentHeartbeats is the number of missed heartbeats after which the store removes the entry of a target.
const silentHeartbeats = 3

// New returns an empty registry of targets that send a heartbeat to the store at an interval. The last heartbeat before an outage may be one
// interval old, so that an entry that is removed within the following ones is that of a target that left.
func New(heartbeat time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, lapseAfter: (silentHeartbeats - 1) * heartbeat}
}

// AdvanceReadOffset notes that all records before an offset were taken over.
func (r *Registry) AdvanceReadOffset(offset int64) { r.readTo = max(r.readTo, offset) }

// StoreDown notes that the store does not answer since a time. Lapsed targets cannot come back meanwhile.
func (r *Registry) StoreDown(since time.Time) {
	r.down = true
	r.outageBegin = since
	for _, known := range r.records {
		known.heldUntil = time.Time{}
	}
}

// StoreUp notes that the store answers. Targets that lapsed have to come back from now on.
func (r *Registry) StoreUp(now time.Time) {
	if !r.down {
		return
	}
	r.down = false
	r.outageEnd = now
	for _, known := range r.records {
		if known.presence == lapsed && known.heldUntil.IsZero() {
			known.heldUntil = now.Add(OutageGracePeriod)
		}
	}
}

// Apply takes over one record of the store. It reports whether the set of usable targets or what is known of one changed.
func (r *Registry) Apply(c Change, now time.Time) bool { return r.Merge(r.Classify(c, now), now) }

// Classify decides whether a removal that was read in the store may be the effect of an outage. Who reads it decides for all: the others
// may not know of the outage, or take a time without the store for one.
func (r *Registry) Classify(c Change, now time.Time) Change {
	if known := r.records[c.ID]; c.Entry == nil && known != nil && known.presence != gone && !known.target.Draining && r.disturbed(now) {
		c.Lapsed = true
		if !r.down {
			c.Hold = r.outageEnd.Add(OutageGracePeriod).Sub(now)
		}
	}
	return c
}

// Merge takes over one change that was read in the store and judged, by this instance or by another. It reports whether the set of usable
// targets or what is known of one changed.
func (r *Registry) Merge(c Change, now time.Time) bool {
	known := r.records[c.ID]
	if known != nil && c.Offset <= known.offset || known == nil && c.Offset < r.readTo {
		return false
	}
	if c.Lapsed {
		return r.hold(known, c, now)
	}
	if c.Entry == nil {
		return remove(known, c)
	}
	if known != nil && known.target.Draining && saidBefore(c.Entry, &known.target.Entry) {
		known.offset = c.Offset
		return false
	}
	target := newTarget(c.Entry, now)
	r.records[c.ID] = &record{offset: c.Offset, target: target}
	return known == nil || known.presence != present || differs(known.target, target)
}

// saidBefore reports whether an incarnation said one entry before another. A write of a target without an answer may be executed after later
// ones.
func saidBefore(e, other *Entry) bool {
	return e.Born == other.Born && e.Sequence > 0 && e.Sequence < other.Sequence
}

func newTarget(e *Entry, now time.Time) Target {
	target := Target{Entry: *e}
	if e.WarmupLeft > 0 {
		target.WarmupEnd = now.Add(e.WarmupLeft)
	}
	return target
}

// remove notes that a target is gone.
func remove(known *record, c Change) bool {
	if known == nil || known.presence == gone {
		return false
	}
	known.offset, known.presence = c.Offset, gone
	return true
}

// hold keeps a target in use whose entry lapsed.
func (r *Registry) hold(known *record, c Change, now time.Time) bool {
	unknown := known == nil || known.presence == gone
	switch {
	case unknown && c.Entry == nil:
		return false
	case unknown:
		known = &record{target: newTarget(c.Entry, now)}
		r.records[c.ID] = known
	case known.target.Draining:
		return remove(known, c)
	}
	known.offset, known.presence, known.heldUntil = c.Offset, lapsed, time.Time{}
	if !r.down || c.Hold > 0 {
		known.heldUntil = now.Add(cmp.Or(c.Hold, OutageGracePeriod))
	}
	r.anyLapsed = true
	return unknown
}

func differs(a, b Target) bool {
	a.WarmupLeft, b.WarmupLeft = 0, 0
	a.Sequence, b.Sequence = 0, 0
	return a.Entry != b.Entry
}

// disturbed reports whether a missing entry may be the effect of an outage.
func (r *Registry) disturbed(now time.Time) bool {
	if now.Sub(r.outageBegin) < r.lapseAfter {
		return false
	}
	return r.down || !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < disturbedAfter
}

// Replace takes over a complete listing of the records before an offset, by the store or by another instance. Targets that it lacks are
// gone, or have lapsed. It returns those that are gone, and reports whether anything changed.
func (r *Registry) Replace(changes []Change, next int64, now time.Time) (left []string, changed bool) {
	listed := map[string]bool{}
	for _, c := range changes {
		if c.Entry != nil {
			listed[c.ID] = true
		}
		if r.Merge(c, now) {
			changed = true
		}
	}
	for id, known := range r.records {
		// The listing says that the target is gone, so that the departure has the offset of its last record. What is known from there on
		// is newer than the listing.
		missing := Change{ID: id, Offset: next - 1}
		if !listed[id] && known.presence == present && r.Apply(missing, now) {
			left = append(left, id)
		}
	}
	r.noteListing(next)
	return left, changed || len(left) > 0
}

// noteListing notes that the records before an offset are known by a listing only.
func (r *Registry) noteListing(next int64) {
	if r.readTo == 0 {
		r.completeFrom = next
	} else {
		r.completeFrom = max(r.completeFrom, r.gapTo)
		r.gapFrom, r.gapTo = r.readTo, next
	}
	r.AdvanceReadOffset(next)
}

// knowsDepartures reports whether every departure from an offset on is known.
func (r *Registry) knowsDepartures(from int64) bool {
	return from >= r.completeFrom && (from <= r.gapFrom || from >= r.gapTo)
}

// EvictExpired removes lapsed targets that did not come back in time, and returns them.
func (r *Registry) EvictExpired(now time.Time) (left []string) {
	if !r.anyLapsed || r.down {
		return nil
	}
	r.anyLapsed = false
	for id, known := range r.records {
		switch {
		case known.presence != lapsed:
		case now.Before(known.heldUntil):
			r.anyLapsed = true
		default:
			known.presence = gone
			left = append(left, id)
		}
	}
	return left
}

// Retained reports whether a target stays in use though its entry lapsed, and how much longer: 0 while the store is away.
func (r *Registry) Retained(id string, now time.Time) (held bool, left time.Duration) {
	known := r.records[id]
	if known == nil || known.presence != lapsed {
		return false, 0
	}
	if known.heldUntil.IsZero() {
		return true, 0
	}
	return true, max(known.heldUntil.Sub(now), time.Nanosecond)
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

// WasDraining reports whether a target said that it is leaving before it left.
func (r *Registry) WasDraining(id string) bool {
	known := r.records[id]
	return known != nil && known.target.Draining
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

// ChangesSince returns what is known from an offset on as changes, for an instance that lacks it, and the offset from which on they are
// complete: 0, with everything that is known, if departures since the asked one may be unknown.
func (r *Registry) ChangesSince(from int64, now time.Time) (changes []Change, completeFrom int64) {
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
		change.Lapsed, change.Hold = r.Retained(id, now)
		changes = append(changes, change)
	}
	return changes, from
}
