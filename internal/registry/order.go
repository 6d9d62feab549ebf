package registry

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/clock"
)

// The store may execute a write that got no answer some seconds after it was sent, and then after later writes. A record is
// therefore not newer than what is known of its target because its offset is higher. Incarnation and sequence order the entries
// of a target, but not against its departure, of which the store tells no sequence; and the store records an entry only when more
// than its sequence changes, so that a late one may have a higher sequence than any that was read. Such an entry is held: it is
// used once the target was found running, or the store has kept it for longer than it keeps the entry of a target that sends no
// heartbeats.

const (
	// MaxWriteDelay bounds how long after it was sent the store executes a write that got no answer.
	MaxWriteDelay = 6 * time.Second
	// maxLateRecordAge bounds how long after it was sent such a write is read. The instances read each record within a second.
	maxLateRecordAge = MaxWriteDelay + time.Second
	// maxCopyAge bounds how old a copy is that the store is restored from. The platform calls it some seconds.
	maxCopyAge = time.Minute
	// restoredEntryTime is how long after a restore the store may still have entries of targets that departed in the lost time:
	// until it misses their heartbeats and the instances have read so.
	restoredEntryTime = 30 * time.Second
	// maxEarlierIncarnations is the number of earlier incarnations of a target that are remembered.
	maxEarlierIncarnations = 4
)

// order is the order of an entry and of what is known of its target.
type order int

const (
	// newer means that the entry was sent after all that is known of the target, or that nothing speaks against it.
	newer order = iota
	// older means that the entry was sent before something that is known of the target.
	older
	// unclear means that the entry may have been sent before the departure, or by an earlier incarnation.
	unclear
)

// evidence is what orders an entry and what is known of its target, besides their incarnations and sequences.
type evidence struct {
	// recentSince is the time since which what was learned of a target may be newer than a late write that is read now, and
	// lostSince the same for an entry that the store has again after a restore. Such an entry was read before, so that its
	// sequence is not higher than the known one.
	recentSince, lostSince time.Time
	// rewritten is true while targets write entries again that the store lost.
	rewritten bool
}

// evidence returns the evidence for entries that are read at a time.
func (r *Registry) evidence(now time.Time) evidence {
	recentSince := now.Add(-maxLateRecordAge)
	e := evidence{recentSince: recentSince, lostSince: recentSince, rewritten: r.store.restoredRecently(now, OutageGracePeriod+lateReadTime)}
	if r.store.restoredRecently(now, restoredEntryTime) {
		e.lostSince = r.store.restoredAt.Add(-maxCopyAge)
	}
	return e
}

// orderOf returns the order of an entry and the record of its target, which is not nil.
func (rec *record) orderOf(e *Entry, by evidence) order {
	known := &rec.target.Entry
	switch {
	case e.Born == 0 || known.Born == 0:
		return newer
	case e.Born != known.Born:
		return rec.orderOfIncarnation(e, by)
	case e.Sequence == 0 || known.Sequence == 0:
		return newer
	case e.Sequence < known.Sequence:
		return older
	case e.Sequence == known.Sequence && rec.presence == expired && by.rewritten:
		return newer
	case e.Sequence == known.Sequence && rec.presence != present:
		return older
	case rec.presence != gone || rec.target.Draining:
		// A target that drains reports so in each later heartbeat, so that this one was sent after its departure.
		return newer
	}
	return rec.orderAfterDeparture(by)
}

// orderOfIncarnation returns the order of an entry of another incarnation than the known one. The start time of an incarnation
// that is not known yet is lower if the clock of the target stepped back between two starts.
func (rec *record) orderOfIncarnation(e *Entry, by evidence) order {
	switch {
	case slices.Contains(rec.earlier, e.Born):
		return older
	case e.Born > rec.target.Born || !rec.incarnationSeenAt.After(by.lostSince):
		return newer
	}
	return unclear
}

// orderAfterDeparture returns the order of an entry, with a higher sequence than any that was read, of an incarnation that is
// gone.
func (rec *record) orderAfterDeparture(by evidence) order {
	if rec.departedAt.IsZero() || !rec.departedAt.After(by.recentSince) {
		return newer
	}
	return unclear
}

// holdEntry keeps an entry whose order is unclear, unless a newer one of the same incarnation is held already. The state of the
// target stays as it is meanwhile.
func (r *Registry) holdEntry(rec *record, e *Entry, since time.Time) {
	if rec.held != nil && rec.held.Born == e.Born && e.Sequence <= rec.held.Sequence {
		return
	}
	held := *e
	rec.held, rec.heldSince, r.anyHeld = &held, since, true
}

// lastLateWrite returns the latest time at which the store may have executed a late write of the held entry's incarnation. Several
// heartbeats may be late, and those that change only the sequence are not recorded.
func (rec *record) lastLateWrite() time.Time {
	if rec.departedAt.IsZero() {
		return rec.heldSince
	}
	return clock.Later(rec.heldSince, rec.departedAt.Add(MaxWriteDelay))
}

// expiryTime is how long the store keeps the entry of a target that sends no heartbeats, with a margin for the time that the store
// and the instances need to notice its end.
func (r *Registry) expiryTime() time.Duration {
	return missedHeartbeats*r.heartbeat + r.heartbeat/2
}

// AdmitHeld puts held entries into use that the store has kept for so long that their targets must be running. asOf is the latest
// time up to which all records were applied. It returns the ids of the targets.
func (r *Registry) AdmitHeld(now, asOf time.Time) (admitted []string) {
	if !r.anyHeld {
		return nil
	}
	r.anyHeld = false
	crowded := r.servicesMostlyHeld()
	for id, rec := range r.records {
		if rec.held != nil && (asOf.Sub(rec.lastLateWrite()) >= r.expiryTime() || crowded[rec.held.Service]) {
			rec.use(newTarget(rec.held, now), now)
			admitted = append(admitted, id)
		}
		r.anyHeld = r.anyHeld || rec.held != nil
	}
	return admitted
}

// HeldAfterDeparture returns the targets whose held entries are of the incarnation that departed. Such a target is running, and has
// not left, if it says so itself.
func (r *Registry) HeldAfterDeparture() []Target {
	if !r.anyHeld {
		return nil
	}
	var targets []Target
	for _, rec := range r.records {
		if rec.heldAfterDeparture() {
			targets = append(targets, Target{Entry: *rec.held})
		}
	}
	return targets
}

func (rec *record) heldAfterDeparture() bool {
	return rec.held != nil && rec.presence == gone && rec.held.Born == rec.target.Born
}

// FoundRunning puts the held entry of a target into use that was found running at a time. It returns the change for the other
// instances, which hold the entry as well, and reports whether there was such an entry.
func (r *Registry) FoundRunning(id string, at, now time.Time) (c Change, found bool) {
	rec := r.records[id]
	if rec == nil || !rec.heldAfterDeparture() || !at.After(rec.heldSince) {
		return c, false
	}
	held := *rec.held
	rec.use(newTarget(&held, now), now)
	return Change{ID: id, Offset: rec.position.Offset, Era: rec.position.Era, Entry: &held, Running: true}, true
}

// useHeld uses a held entry whose target another instance found running. It reports whether there was one.
func (r *Registry) useHeld(rec *record, c Change, now time.Time) bool {
	if !c.Running || rec == nil || rec.held == nil || rec.position != c.Position() {
		return false
	}
	rec.use(newTarget(rec.held, now), now)
	return true
}

// mostlyHeldFactor is the number of held targets for each usable one from which on a service counts as mostly held.
const mostlyHeldFactor = 2

// servicesMostlyHeld returns the services with far more held than usable targets, and more than one. Departures of so many targets
// that each left a late write are less likely than running targets whose heartbeats were lost, and holding them would leave the
// service to few targets.
func (r *Registry) servicesMostlyHeld() map[string]bool {
	held, usable := map[string]int{}, map[string]int{}
	for _, rec := range r.records {
		switch {
		case rec.usable():
			usable[rec.target.Service]++
		case rec.held != nil:
			held[rec.held.Service]++
		}
	}
	mostly := map[string]bool{}
	for service, count := range held {
		mostly[service] = count > max(mostlyHeldFactor*usable[service], 1)
	}
	return mostly
}
