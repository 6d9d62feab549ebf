package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

func (e *entry) live() bool { return e.State == Alive || e.State == Suspect }

// learn merges what a peer says about a member and reports whether it is news.
func (g *Gossip) learn(now time.Duration, m *Member) bool {
	if m.Identity == g.self.Identity {
		g.refute(m)
		return false
	}
	known := g.members[m.Identity]
	switch {
	case known == nil:
		return g.join(now, m)
	case !m.overrides(&known.Member):
		return false
	}
	state := known.State
	if m.Counter > known.Counter {
		state = state.next(g.chart, eventRefuted)
	}
	known.Member = *m
	known.State = state.next(g.chart, eventsOfStates[m.State])
	known.since = now
	known.missed = 0
	g.touch()
	return true
}

// refute answers a suspicion of this instance with a higher counter. The answer to an older suspicion is sent again,
// because its sender missed it.
func (g *Gossip) refute(m *Member) {
	if m.State == Alive || m.State == Left || g.self.State == Left {
		return
	}
	if m.Counter >= g.self.Counter {
		g.self.Counter = m.Counter + 1
		g.touch()
	}
	g.queue.add(g.self.rumor())
}

// join adds a member. Members that are gone are not added, or they would be passed around for ever.
func (g *Gossip) join(now time.Duration, m *Member) bool {
	if m.State == Dead || m.State == Left || len(g.members) >= maxMembers {
		return false
	}
	g.members[m.Identity] = &entry{Member: *m, since: now}
	g.joined = append(g.joined, m.Identity)
	g.touch()
	return true
}

// fire changes the state of a member by a decision of this instance and spreads it.
func (g *Gossip) fire(now time.Duration, e *entry, event chart.Event) {
	e.State = e.State.next(g.chart, event)
	e.since = now
	g.touch()
	g.queue.add(e.rumor())
}

// expire ends suspicions and forgets members that are gone.
func (g *Gossip) expire(now time.Duration) {
	for _, id := range g.identities(func(e *entry) bool { return e.expired(now) }) {
		e := g.members[id]
		if e.State == Suspect {
			g.fire(now, e, eventExpired)
			continue
		}
		delete(g.members, id)
		g.touch()
	}
}

func (e *entry) expired(now time.Duration) bool {
	if e.State == Suspect {
		return now-e.since >= suspicionTimeout
	}
	return !e.live() && now-e.since >= forgetAfter
}

// touch notes that the members changed.
func (g *Gossip) touch() {
	g.changed = true
	g.live = nil
}

// Members returns this instance and all members that are known, in order.
func (g *Gossip) Members() []Member {
	list := []Member{g.self}
	for _, id := range g.identities(func(*entry) bool { return true }) {
		list = append(list, g.members[id].Member)
	}
	return list
}

// Changed reports whether the members changed since the last call.
func (g *Gossip) TakeChanged() bool {
	changed := g.changed
	g.changed = false
	return changed
}

// MemberRumors returns the live members, for an instance that joins.
func (g *Gossip) LiveMemberRumors() []Rumor {
	rumors := []Rumor{g.self.rumor()}
	for _, id := range g.liveIdentities() {
		rumors = append(rumors, g.members[id].rumor())
	}
	return rumors
}

// liveIdentities returns the live members in order. The slice must not be modified.
func (g *Gossip) liveIdentities() []Identity {
	if g.live == nil {
		g.live = g.identities((*entry).live)
	}
	return g.live
}

// identities returns the members that match in order, so that sessions replay exactly.
func (g *Gossip) identities(match func(*entry) bool) []Identity {
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
