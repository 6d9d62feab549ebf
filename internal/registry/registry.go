// Package registry tracks the registered targets: which incarnations exist, which are draining, and which entries expired
// during an outage of the store. It does no I/O and reads no clock; callers pass the time.
package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Entry is the registration of a target, as the target reports it.
type Entry struct {
	ID      string
	Address string
	Zone    string
	Service string
	Version string
	// Slots is the number of requests that the target processes concurrently.
	Slots    int
	Draining bool
	// WarmupLeft is the time until the target reaches full speed after its start.
	WarmupLeft time.Duration
	// Born is the start time of the incarnation, in Unix milliseconds.
	Born int64
	// Sequence orders the reports of one incarnation. 0 means that the order is unknown.
	Sequence int64
}

// Change is one record of the store about a target. Entry is nil if the target is gone or its record does not describe a
// usable target.
type Change struct {
	ID string
	// Offset and Era are the position of the record.
	Offset int64
	Era    int64 `cbor:",omitempty"`
	Entry  *Entry
	// Lapsed marks a removal that may be the effect of an outage of the store. Classify and ChangesSince set it. Entry is
	// then the last known entry of the target, or nil. Hold is how much longer the sender of the change keeps the target in
	// use, or 0 if it has no current answer of the store. Only instances of earlier versions use Hold.
	Lapsed bool
	Hold   time.Duration
	// Malformed marks a record that does not describe a usable target. It says nothing about whether the target runs.
	Malformed bool `cbor:",omitempty"`
	// Running is true if the target was found running after its entry was read. A held entry is then used.
	Running bool `cbor:",omitempty"`
	// Known is what the sender of the change knows of the target, if it is gone or its entry is held. It is nil if the sender read
	// the change from the store, and if it is of an earlier version.
	Known *Known `cbor:",omitempty"`
}

// Position returns the position of the record.
func (c *Change) Position() topic.Position { return topic.Position{Era: c.Era, Offset: c.Offset} }

// Known is what an instance knows of a target that is gone, or whose latest entry it holds: what an entry has to be compared with.
type Known struct {
	// Born, Sequence and Draining are those of the newest entry. If the target is in use with that entry, InUse is the entry.
	Born     int64  `cbor:"1,keyasint,omitempty"`
	Sequence int64  `cbor:"2,keyasint,omitempty"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
	InUse    *Entry `cbor:"4,keyasint,omitempty"`
	// Earlier are the start times of earlier incarnations.
	Earlier []int64 `cbor:"5,keyasint,omitempty"`
	// DepartedFor is how long the target is known to be gone, 0 if it did not depart by a removal. DepartedOffset and DepartedEra
	// are the position of its latest removal, 0 if there was none.
	DepartedFor    time.Duration `cbor:"6,keyasint,omitempty"`
	DepartedOffset int64         `cbor:"8,keyasint,omitempty"`
	DepartedEra    int64         `cbor:"9,keyasint,omitempty"`
	// HeldFor is how long the entry of the change has been held, 0 if it is not.
	HeldFor time.Duration `cbor:"7,keyasint,omitempty"`
}

// Target is a usable target.
type Target struct {
	Entry
	// WarmupEnd is when the target reaches full speed. It is zero if the target was warm when it reported its entry.
	WarmupEnd time.Time
}

// presence is the state of a target according to its records.
type presence int

const (
	present presence = iota
	// expired means that the entry was removed, possibly because of an outage of the store. The target stays in use until
	// the grace period after the outage ends.
	expired
	// gone means that the target was removed. Its position is kept, so that an older record that arrives late does not
	// restore the target.
	gone
)

type record struct {
	position topic.Position
	target   Target
	presence presence
	// incarnationSeenAt is when this instance learned of the incarnation of the target.
	incarnationSeenAt time.Time
	// earlier are the start times of earlier incarnations.
	earlier []int64
	// departedAt is when this instance learned that the entry of the target was removed. It is zero while the target is not gone,
	// and if it is gone for another reason.
	departedAt time.Time
	// departedPosition is that of the latest removal that this instance knows of, zero if there was none.
	departedPosition topic.Position
	// unusedSince is when ForgetDeparted first found the target gone, zero if it was in use since.
	unusedSince time.Time
	// held is an entry that may be older than what is known of the target, nil if there is none. It was first seen at heldSince.
	held      *Entry
	heldSince time.Time
}

// usable reports whether the target may receive requests.
func (rec *record) usable() bool { return rec.presence != gone && !rec.target.Draining }

// use puts a target into use with a newer entry.
func (rec *record) use(target Target, now time.Time) {
	if rec.incarnationSeenAt.IsZero() || target.Born != rec.target.Born {
		rec.incarnationSeenAt = now
	}
	if old := rec.target.Born; old != 0 && old != target.Born {
		rec.earlier = append(rec.earlier, old)
		rec.earlier = rec.earlier[max(len(rec.earlier)-maxEarlierIncarnations, 0):]
	}
	rec.target, rec.presence, rec.held = target, present, nil
	rec.departedAt, rec.unusedSince = time.Time{}, time.Time{}
}

// Registry holds the latest record of each target. It is not safe for concurrent use.
type Registry struct {
	records map[string]*record
	store   availability
	// heartbeat is the interval at which targets renew their entries.
	heartbeat time.Duration
	// expiryDelay is the time from the last answer of the store before an outage until the first entry can expire.
	expiryDelay time.Duration
	// readPosition is the position before which all records were applied. An older record of an unknown target belongs to a
	// target that has departed since.
	readPosition topic.Position
	// completeFrom is the first position since which all departures are known, except those between gapFrom and gapTo. The
	// records of that gap are known from a listing only, which contains nothing about targets that departed before it.
	completeFrom, gapFrom, gapTo topic.Position
	// anyExpired is true if a target may be expired.
	anyExpired bool
	// anyHeld is true if an entry may be held.
	anyHeld bool
	// nextPrune is the time of the next search for departed targets to forget.
	nextPrune time.Time
}

// missedHeartbeats is the number of missed heartbeats after which the store removes the entry of a target.
const missedHeartbeats = 3

// New returns an empty registry of targets that send a heartbeat to the store at the given interval. At the start of an
// outage, the last heartbeat of a target may be one interval old. Its entry can therefore expire after
// missedHeartbeats - 1 intervals, and an entry that is removed earlier belongs to a target that departed.
func New(heartbeat time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, heartbeat: heartbeat, expiryDelay: (missedHeartbeats - 1) * heartbeat}
}

// AdvanceReadPosition records that all records before the position were applied.
func (r *Registry) AdvanceReadPosition(p topic.Position) {
	r.readPosition = topic.Later(r.readPosition, p)
}

// StoreAnswered records that the store answered the reads of some instance from since to until, without an outage in
// between. For a single read, until is its start and since is when the answer arrived. What several instances know may be
// recorded in any order.
func (r *Registry) StoreAnswered(since, until time.Time) { r.store.merge(since, until) }

// StoreAnsweringSince returns since when the store is known to answer without an outage, up to its latest known answer. It
// is zero before the first one.
func (r *Registry) StoreAnsweringSince() time.Time { return r.store.since }

// StoreSilent reports whether the latest known answer of the store is older than the gaps between two reads. The store may
// be down, or this instance has not heard of its answers.
func (r *Registry) StoreSilent(now time.Time) bool { return r.store.silent(now) }

// BackdateStore moves what is known of the store back in time, after a suspension of the host in which the clock stopped.
func (r *Registry) BackdateStore(by time.Duration) { r.store.backdate(by) }

// Apply classifies and merges one record of the store. It reports whether the usable targets or one of their entries
// changed.
func (r *Registry) Apply(c Change, now time.Time) bool {
	return r.Merge(r.Classify(c, now), now) == Changed
}

// Classify marks a removal that was read from the store as lapsed if it may be the effect of an outage. Only the instance
// that reads the record classifies it, for all instances. Those that know better because of an answer of the store that the
// reader did not know do not retain the target.
func (r *Registry) Classify(c Change, now time.Time) Change { return r.classify(c, now, now) }

// classify classifies a removal that was made before a time.
func (r *Registry) classify(c Change, now, removedBefore time.Time) Change {
	if rec := r.records[c.ID]; c.Entry == nil && rec != nil && rec.presence != gone && !rec.target.Draining && r.mayBeOutageEffect(now, removedBefore) {
		c.Lapsed = true
		c.Hold = r.store.graceLeft(now)
	}
	return c
}

// Effect is the effect of a change on a Registry.
type Effect int

const (
	// Unchanged means that neither the usable targets nor one of their entries changed.
	Unchanged Effect = iota
	// Changed means that the usable targets or one of their entries changed.
	Changed
	// Outdated means that the entry of the change was sent before something that is known of its target.
	Outdated
	// Held means that the entry of the change may have been sent before something that is known of its target, so that it is not
	// used yet.
	Held
)

func effectOf(changed bool) Effect {
	if changed {
		return Changed
	}
	return Unchanged
}

// Merge applies one change that this or another instance has read from the store and classified. It ignores a change that
// is older than the known record of the target.
func (r *Registry) Merge(c Change, now time.Time) Effect {
	rec := r.records[c.ID]
	if r.useHeld(rec, c, now) {
		return Changed
	}
	if rec != nil && !c.Position().After(rec.position) || rec == nil && c.Position().Before(r.readPosition) {
		return Unchanged
	}
	if rec == nil && c.Known != nil {
		rec = c.Known.record(c.ID, now)
		r.records[c.ID] = rec
	}
	switch {
	case c.Lapsed:
		return effectOf(r.retain(rec, c, now))
	case c.Entry == nil:
		return effectOf(markGone(rec, c, now))
	}
	return r.register(rec, c, now)
}

// register merges an entry.
func (r *Registry) register(rec *record, c Change, now time.Time) Effect {
	if rec == nil {
		rec = &record{presence: gone}
		r.records[c.ID] = rec
	}
	rec.position = c.Position()
	switch order := rec.orderOf(c.Entry, r.evidence(now)); {
	case order == older:
		return Outdated
	case order == unclear && !c.Running:
		r.holdEntry(rec, c.Entry, now.Add(-c.heldFor()))
		return Held
	}
	before, wasPresent := rec.target, rec.presence == present
	rec.use(newTarget(c.Entry, now), now)
	return effectOf(!wasPresent || differs(before, rec.target))
}

func newTarget(e *Entry, now time.Time) Target {
	target := Target{Entry: *e}
	if e.WarmupLeft > 0 {
		target.WarmupEnd = now.Add(e.WarmupLeft)
	}
	return target
}

// markGone marks a target as gone. It reports whether that is a change.
func markGone(rec *record, c Change, now time.Time) bool {
	if rec == nil {
		return false
	}
	wasInUse := rec.presence != gone
	if (wasInUse || rec.held != nil) && !c.Malformed {
		rec.departedAt, rec.departedPosition = now, c.Position()
	}
	rec.position, rec.presence, rec.held = c.Position(), gone, nil
	return wasInUse
}

// differs reports whether two entries differ in more than the remaining warm-up time and the sequence number, which change
// with each heartbeat.
func differs(a, b Target) bool {
	a.WarmupLeft, b.WarmupLeft = 0, 0
	a.Sequence, b.Sequence = 0, 0
	return a.Entry != b.Entry
}

// Drop removes a target that is known to be gone from another source, for example because its address answers for another
// incarnation. It reports whether that is a change. A later record restores the target.
func (r *Registry) Drop(id string) bool {
	rec := r.records[id]
	if rec == nil || rec.presence == gone {
		return false
	}
	rec.presence, rec.departedAt = gone, time.Time{}
	return true
}

// WasDraining reports whether a target is draining or was draining when it departed.
func (r *Registry) WasDraining(id string) bool {
	rec := r.records[id]
	return rec != nil && rec.target.Draining
}

// Usable returns the targets that may receive requests, including expired ones in their grace period, ordered by id.
func (r *Registry) Usable() []Target {
	var targets []Target
	for _, rec := range r.records {
		if rec.usable() {
			targets = append(targets, rec.target)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}
