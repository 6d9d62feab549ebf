package registry

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// An instance that starts, or listed the store after a departure, does not know what a late write has to be compared with. The
// others tell it with the changes that they repeat, in answers to its greetings, and with their state.

// record returns the record of an instance that takes over what another one knows of a target.
func (k *Known) record(id string, now time.Time) *record {
	rec := &record{presence: gone, incarnationSeenAt: now, earlier: k.Earlier, departedPosition: topic.Position{Era: k.DepartedEra, Offset: k.DepartedOffset}}
	rec.target.Entry = Entry{ID: id, Born: k.Born, Sequence: k.Sequence, Draining: k.Draining}
	if k.InUse != nil {
		rec.presence, rec.target = present, newTarget(k.InUse, now)
	}
	if k.DepartedFor > 0 {
		rec.departedAt = now.Add(-k.DepartedFor)
	}
	return rec
}

// known returns what this instance knows of a target, for another instance.
func (rec *record) known(now time.Time) *Known {
	entry := rec.target.Entry
	k := &Known{
		Born: entry.Born, Sequence: entry.Sequence, Draining: entry.Draining, Earlier: rec.earlier,
		DepartedOffset: rec.departedPosition.Offset, DepartedEra: rec.departedPosition.Era,
	}
	if rec.presence != gone {
		k.InUse = &entry
	}
	if !rec.departedAt.IsZero() {
		k.DepartedFor = max(now.Sub(rec.departedAt), time.Nanosecond)
	}
	if rec.held != nil {
		k.HeldFor = max(now.Sub(rec.heldSince), time.Nanosecond)
	}
	return k
}

// heldFor returns how long the sender of the change has held its entry.
func (c *Change) heldFor() time.Duration {
	if c.Known == nil {
		return 0
	}
	return c.Known.HeldFor
}

// describe returns the record of a target as a change for an instance that may know nothing of it.
func (r *Registry) describe(id string, rec *record, now time.Time) Change {
	change := Change{ID: id, Offset: rec.position.Offset, Era: rec.position.Era}
	switch {
	case rec.held != nil:
		held := *rec.held
		change.Entry, change.Known = &held, rec.known(now)
	case rec.presence != gone:
		entry := rec.target.Entry
		change.Entry = &entry
	default:
		change.Known = rec.known(now)
	}
	return change
}

// WithKnowledge adds to the latest change of a target what this instance knows of it, if it is gone or its entry is held.
func (r *Registry) WithKnowledge(c Change, now time.Time) Change {
	if rec := r.records[c.ID]; rec != nil && rec.position == c.Position() && (rec.presence == gone || rec.held != nil) {
		c.Known = rec.known(now)
	}
	return c
}

// maxRecentDepartures is the largest number of departures that RecentDepartures returns.
const maxRecentDepartures = 24

// RecentDepartures returns the targets of which a late write may still be executed, and those whose entries are held, for an
// instance that starts.
func (r *Registry) RecentDepartures(now time.Time) []Change {
	var changes []Change
	lostSince := r.evidence(now).lostSince
	for id, rec := range r.records {
		if rec.held != nil || rec.presence == gone && !rec.departedAt.IsZero() && rec.departedAt.After(lostSince) {
			changes = append(changes, r.describe(id, rec, now))
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return b.Position().Compare(a.Position()) })
	return changes[:min(len(changes), maxRecentDepartures)]
}

// LearnResult is what an instance learned from the knowledge of another one.
type LearnResult int

const (
	// NothingNew means that the other instance knows no more.
	NothingNew LearnResult = iota
	// DepartureLearned means that the departure was not known.
	DepartureLearned
	// LateWriteFound means that the departure was not known, and that the target was in use because of a write that may be late.
	LateWriteFound
	// FoundRunningByPeer means that the held entry of the target is in use now, because the other instance found the target running.
	FoundRunningByPeer
)

// Learn takes over what another instance knows of a departure, whatever part of the topic either of them has read.
func (r *Registry) Learn(c Change, now time.Time) LearnResult {
	rec := r.records[c.ID]
	if r.useHeld(rec, c, now) {
		return FoundRunningByPeer
	}
	if c.Known == nil {
		return NothingNew
	}
	known := c.Known.record(c.ID, now)
	if rec == nil {
		known.position = c.Position()
		if c.Entry != nil && c.Known.HeldFor > 0 {
			r.holdEntry(known, c.Entry, now.Add(-c.Known.HeldFor))
		}
		r.records[c.ID] = known
		return DepartureLearned
	}
	unknownDeparture := rec.departedPosition.Before(known.departedPosition) && known.departedPosition.Before(rec.position)
	if rec.presence != present || rec.target.Born != known.target.Born || !unknownDeparture {
		return NothingNew
	}
	entry := rec.target.Entry
	held := c.Entry != nil && c.Known.HeldFor > 0 && c.Entry.Born == entry.Born && c.Entry.Sequence >= entry.Sequence
	switch order := known.orderOf(&entry, r.evidence(rec.incarnationSeenAt)); {
	case held:
		r.holdEntry(known, c.Entry, now.Add(-c.Known.HeldFor))
	case order == unclear:
		r.holdEntry(known, &entry, rec.incarnationSeenAt)
	case order == newer:
		return NothingNew
	}
	known.position = rec.position
	r.records[c.ID] = known
	return LateWriteFound
}
