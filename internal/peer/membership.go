package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// live reports whether the member is alive or suspect.
func (e *entry) live() bool { return e.State == Alive || e.State == Suspect }

// mergeMember merges the state of a member received from a peer and reports whether it changed the table.
func (g *Gossip) mergeMember(now time.Duration, m *Member) bool {
	if m.Identity == g.self.Identity {
		g.refute(m)
		return false
	}
	known := g.members[m.Identity]
	switch {
	case known == nil:
		return g.addMember(now, m)
	case !m.overrides(&known.Member):
		return false
	}
	state := known.State
	if m.Counter > known.Counter {
		state = state.next(g.chart, eventRefuted)
	}
	known.Member = *m
	known.State = state.next(g.chart, eventsByState[m.State])
	known.stateSince = now
	known.missed = 0
	g.markChanged()
	return true
}

// refute answers a suspicion or death of this instance by announcing a higher counter. If the rumor is already refuted,
// the announcement is queued again, because the sender of the rumor missed it.
func (g *Gossip) refute(m *Member) {
	if m.State == Alive || m.State == Left || g.self.State == Left {
		return
	}
	if m.Counter >= g.self.Counter {
		g.self.Counter = m.Counter + 1
		g.markChanged()
	}
	g.queue.add(g.self.rumor())
}

// addMember adds a member unless the table is full. Dead and left members are not added, because instances would
// otherwise keep reintroducing them to each other after their tombstones expired.
func (g *Gossip) addMember(now time.Duration, m *Member) bool {
	if m.State == Dead || m.State == Left || len(g.members) >= maxMembers {
		return false
	}
	g.members[m.Identity] = &entry{Member: *m, stateSince: now}
	g.newMembers = append(g.newMembers, m.Identity)
	g.markChanged()
	return true
}

// transition changes the state of a member by a local decision and spreads the new state.
func (g *Gossip) transition(now time.Duration, e *entry, event chart.Event) {
	e.State = e.State.next(g.chart, event)
	e.stateSince = now
	g.markChanged()
	g.queue.add(e.rumor())
}

// expireMembers marks members dead whose suspicion timed out and removes expired tombstones.
func (g *Gossip) expireMembers(now time.Duration) {
	for _, id := range g.sortedIdentities(func(e *entry) bool { return e.expired(now) }) {
		e := g.members[id]
		if e.State == Suspect {
			g.transition(now, e, eventExpired)
			continue
		}
		delete(g.members, id)
		g.markChanged()
	}
}

// expired reports whether the suspicion or the tombstone of the member timed out.
func (e *entry) expired(now time.Duration) bool {
	if e.State == Suspect {
		return now-e.stateSince >= suspicionTimeout
	}
	return !e.live() && now-e.stateSince >= tombstoneTTL
}

// markChanged records a change of the members and invalidates g.live.
func (g *Gossip) markChanged() {
	g.changed = true
	g.live = nil
}

// Members returns this instance, followed by all other members sorted by identity.
func (g *Gossip) Members() []Member {
	list := []Member{g.self}
	for _, id := range g.sortedIdentities(func(*entry) bool { return true }) {
		list = append(list, g.members[id].Member)
	}
	return list
}

// TakeChanged reports whether the members changed since the last call, and resets the flag.
func (g *Gossip) TakeChanged() bool {
	changed := g.changed
	g.changed = false
	return changed
}

// LiveMemberRumors returns the rumors of this instance and all live members, for an instance that joins.
func (g *Gossip) LiveMemberRumors() []Rumor {
	rumors := []Rumor{g.self.rumor()}
	for _, id := range g.liveIdentities() {
		rumors = append(rumors, g.members[id].rumor())
	}
	return rumors
}

// liveIdentities returns the sorted identities of the live members. The slice must not be modified.
func (g *Gossip) liveIdentities() []Identity {
	if g.live == nil {
		g.live = g.sortedIdentities((*entry).live)
	}
	return g.live
}

// sortedIdentities returns the identities of the members that match. Sorting keeps runs with the same seed reproducible.
func (g *Gossip) sortedIdentities(match func(*entry) bool) []Identity {
	list := []Identity{}
	for id, e := range g.members {
		if match(e) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
