package registry

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// report is an entry of an incarnation with a sequence number.
func report(born, sequence int64) *Entry {
	e := entry("t1")
	e.Born, e.Sequence = born, sequence
	return e
}

// departures bring a registered target into each state in which it is out of use although it never reported that it drains.
var departures = map[string]func(r *Registry){
	"removal":        func(r *Registry) { r.Apply(Change{ID: "t1", Offset: 2}, start) },
	"listing":        func(r *Registry) { r.Replace(nil, topic.Position{Offset: 3}, start) },
	"answer of 421":  func(r *Registry) { r.Drop("t1") },
	"not back again": func(r *Registry) { recordOutage(r, start.Add(-time.Minute), start); evictExpired(r) },
}

// evictExpired lets the entry of t1 expire in an outage after which it does not return.
func evictExpired(r *Registry) {
	up := start.Add(5 * time.Second)
	r.StoreAnswered(up, up)
	r.Apply(Change{ID: "t1", Offset: 2}, up)
	r.StoreAnswered(up, up.Add(2*OutageGracePeriod))
	r.EvictExpired(up.Add(2*OutageGracePeriod), up.Add(2*OutageGracePeriod))
}

// Guards against a departed target that is used again because the store executed one of its writes late: a heartbeat that was
// sent before one that was read, or the same one once more.
func TestLateHeartbeatDoesNotReturnTarget(t *testing.T) {
	for name, depart := range departures {
		for _, late := range []*Entry{report(7, 2), report(7, 3)} {
			r := New(heartbeat)
			r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
			if depart(r); usableIDs(r)["t1"] {
				t.Fatalf("%s: the target is in use", name)
			}
			after := start.Add(20 * time.Second)
			if effect := r.Merge(Change{ID: "t1", Offset: 4, Entry: late}, after); effect != Outdated || usableIDs(r)["t1"] {
				t.Errorf("%s, sequence %d: effect %d, used again %v", name, late.Sequence, effect, usableIDs(r)["t1"])
			}
			r.AdmitHeld(after.Add(time.Hour), after.Add(time.Hour))
			if usableIDs(r)["t1"] {
				t.Errorf("%s, sequence %d: used again later", name, late.Sequence)
			}
		}
	}
}

// Guards against a departed target that is used again because of a late heartbeat that is newer than all that were read: the
// store records an entry only when more than its sequence changes. The store removes such an entry after three intervals.
func TestUnrecordedLateHeartbeatDoesNotReturnTarget(t *testing.T) {
	for _, name := range []string{"removal", "listing"} {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
		departures[name](r)
		executed := start.Add(2 * time.Second)
		if effect := r.Merge(Change{ID: "t1", Offset: 4, Entry: report(7, 9)}, executed); effect != Held {
			t.Errorf("%s: effect %d, want Held", name, effect)
		}
		removed := executed.Add(missedHeartbeats * heartbeat)
		r.AdmitHeld(removed, removed)
		if usableIDs(r)["t1"] {
			t.Errorf("%s: the target is used again", name)
		}
		r.Apply(Change{ID: "t1", Offset: 5}, removed)
		r.AdmitHeld(removed.Add(time.Hour), removed.Add(time.Hour))
		if usableIDs(r)["t1"] {
			t.Errorf("%s: the target is used again after its entry was removed", name)
		}
	}
}

// Guards against a running target that is kept out of use: the order of its entry speaks against nothing, or the store has kept
// the entry for longer than that of a target that is gone.
func TestRunningTargetReturns(t *testing.T) {
	cases := []struct {
		name   string
		depart string
		entry  *Entry
		after  time.Duration
		want   Effect
	}{
		{"later heartbeat after an outage", "not back again", report(7, 9), 20 * time.Second, Changed},
		{"later heartbeat after a 421", "answer of 421", report(7, 9), time.Second, Changed},
		{"later heartbeat long after a removal", "removal", report(7, 9), maxLateRecordAge, Changed},
		{"later heartbeat just after a removal", "removal", report(7, 9), time.Second, Held},
		{"restart", "removal", report(8, 1), time.Second, Changed},
		{"restart, clock stepped back", "removal", report(3, 1), maxLateRecordAge, Changed},
		{"restart, clock stepped back, just after the first start", "removal", report(3, 1), time.Second, Held},
		{"unknown sequence", "removal", report(7, 0), time.Second, Changed},
		{"unknown incarnation", "removal", report(0, 1), time.Second, Changed},
	}
	for _, c := range cases {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
		departures[c.depart](r)
		at := start.Add(c.after)
		if effect := r.Merge(Change{ID: "t1", Offset: 4, Entry: c.entry}, at); effect != c.want || usableIDs(r)["t1"] != (c.want == Changed) {
			t.Errorf("%s: effect %d, used %v", c.name, effect, usableIDs(r)["t1"])
		}
		kept := start.Add(MaxWriteDelay + r.expiryTime())
		if r.AdmitHeld(kept, kept.Add(-time.Millisecond)); c.want == Held && usableIDs(r)["t1"] {
			t.Errorf("%s: used before the store has kept the entry for long", c.name)
		}
		if r.AdmitHeld(kept, kept); !usableIDs(r)["t1"] {
			t.Errorf("%s: not used although the store has kept the entry", c.name)
		}
	}
}

// Guards against late writes that replace the entry of a target that is in use: it would get the address, the start time or the
// warm-up of an earlier time, and a running target must not be lost because a late write was held.
func TestLateWritesDoNotReplaceEntries(t *testing.T) {
	for name, late := range map[string]*Entry{"earlier heartbeat": report(7, 2), "earlier incarnation": report(3, 1), "known incarnation": report(5, 9)} {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: report(5, 4)}, start)
		r.Apply(Change{ID: "t1", Offset: 2, Entry: report(7, 3)}, start)
		old := *late
		old.Address = "10.0.0.2:80"
		r.Merge(Change{ID: "t1", Offset: 3, Entry: &old}, start.Add(time.Second))
		if got := r.Usable(); len(got) != 1 || got[0].Entry != *report(7, 3) {
			t.Errorf("%s: in use %+v", name, got)
		}
		// The running incarnation replaces the late entry with its next heartbeat.
		r.Merge(Change{ID: "t1", Offset: 4, Entry: report(7, 4)}, start.Add(2*time.Second))
		later := start.Add(time.Minute)
		r.AdmitHeld(later, later)
		if got := r.Usable(); len(got) != 1 || got[0].Entry != *report(7, 4) {
			t.Errorf("%s: in use %+v after the next heartbeat", name, got)
		}
	}
}

// Guards against a running incarnation that is ignored for good because another one was taken for newer: its heartbeats change
// only the sequence, so that the store records no further entry.
func TestClockOfTargetStepsBack(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	restarted := start.Add(time.Second)
	r.Merge(Change{ID: "t1", Offset: 2, Entry: report(3, 1)}, restarted)
	if got := r.Usable(); len(got) != 1 || got[0].Born != 7 {
		t.Fatalf("in use %+v, want the first incarnation while the order is unclear", got)
	}
	kept := restarted.Add(r.expiryTime())
	if r.AdmitHeld(kept, kept); len(r.Usable()) != 1 || r.Usable()[0].Born != 3 {
		t.Errorf("in use %+v, want the incarnation whose entry the store keeps", r.Usable())
	}
	if effect := r.Merge(Change{ID: "t1", Offset: 3, Entry: report(7, 4)}, kept); effect != Outdated {
		t.Errorf("a late write of the first incarnation has effect %d", effect)
	}
}

// Guards against instances that take a late write for a new target, or hold it for another time than the others, because they
// learned of the target from the state of a peer after its departure.
func TestOrderIsKnownFromPeers(t *testing.T) {
	peer := New(heartbeat)
	peer.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	peer.Apply(Change{ID: "t1", Offset: 2}, start)
	joined := func(at time.Time) *Registry {
		r := New(heartbeat)
		changes, _ := peer.ChangesSince(topic.Position{}, at)
		r.Replace(changes, topic.Position{Offset: 3}, at)
		return r
	}
	after := start.Add(time.Second)
	for _, c := range []struct {
		late *Entry
		want Effect
	}{{report(7, 2), Outdated}, {report(7, 9), Held}, {report(8, 1), Changed}} {
		if effect := joined(after).Merge(Change{ID: "t1", Offset: 5, Entry: c.late}, after); effect != c.want {
			t.Errorf("sequence %d of %d: effect %d, want %d", c.late.Sequence, c.late.Born, effect, c.want)
		}
	}
	if effect := joined(start.Add(maxLateRecordAge-time.Second)).Merge(Change{ID: "t1", Offset: 5, Entry: report(7, 9)}, start.Add(maxLateRecordAge)); effect != Changed {
		t.Errorf("effect %d of a heartbeat long after the departure, want Changed", effect)
	}
	held := start.Add(2 * time.Second)
	peer.Merge(Change{ID: "t1", Offset: 6, Entry: report(7, 9)}, held)
	r := joined(held.Add(time.Second))
	if usableIDs(r)["t1"] {
		t.Error("an entry that a peer holds is in use")
	}
	kept := start.Add(MaxWriteDelay + peer.expiryTime())
	for name, each := range map[string]*Registry{"peer": peer, "joined": r} {
		if each.AdmitHeld(kept, kept); !usableIDs(each)["t1"] {
			t.Errorf("%s: not in use although the store has kept the entry", name)
		}
	}
}

// Guards against a service that is left to few targets because the entries of most were removed and return within seconds, as
// after the loss of many heartbeats.
func TestMostTargetsOfAServiceAreNotHeld(t *testing.T) {
	r := New(heartbeat)
	named := func(id string, sequence int64) *Entry {
		e := report(7, sequence)
		e.ID = id
		return e
	}
	ids := []string{"t1", "t2", "t3"}
	for i, id := range ids {
		r.Apply(Change{ID: id, Offset: int64(i), Entry: named(id, 3)}, start)
		r.Apply(Change{ID: id, Offset: int64(10 + i)}, start)
	}
	for i, id := range ids {
		at := start.Add(time.Second)
		r.Merge(Change{ID: id, Offset: int64(20 + i), Entry: named(id, 9)}, at)
		r.AdmitHeld(at, at)
		if used := len(r.Usable()); used != []int{0, 2, 2}[i] {
			t.Errorf("%d entries are back: %d targets in use", i+1, used)
		}
	}
}

// Guards against a record that no server wrote and that counts as a departure of its target, so that its next heartbeat is held.
func TestMalformedRecordIsNoDeparture(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	if r.Apply(Change{ID: "t1", Offset: 2, Malformed: true}, start); usableIDs(r)["t1"] {
		t.Error("a target is in use although its record names none")
	}
	if effect := r.Merge(Change{ID: "t1", Offset: 3, Entry: report(7, 4)}, start.Add(time.Second)); effect != Changed {
		t.Errorf("effect %d of the next heartbeat", effect)
	}
}

// Guards against an instance that starts and uses a late write as the entry of a target, because it listed the store after the
// departure: those that know of the departure tell it, before or after the listing.
func TestDepartureIsLearnedFromPeers(t *testing.T) {
	peer := New(heartbeat)
	peer.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	peer.Apply(Change{ID: "t1", Offset: 2}, start)
	told := peer.RecentDepartures(start.Add(time.Second))
	if len(told) != 1 || told[0].Known == nil {
		t.Fatalf("recent departures: %+v", told)
	}
	for _, c := range []struct {
		name   string
		listed *Entry
		usable bool
		held   bool
	}{
		{"earlier heartbeat", report(7, 2), false, false}, {"later heartbeat", report(7, 9), false, true},
		{"next incarnation", report(8, 1), true, false}, {"unknown sequence", report(7, 0), true, false},
	} {
		at := start.Add(2 * time.Second)
		for _, listingFirst := range []bool{false, true} {
			r := New(heartbeat)
			listing := func() { r.Replace([]Change{{ID: "t1", Offset: 3, Entry: c.listed}}, topic.Position{Offset: 4}, at) }
			if listingFirst {
				listing()
			}
			r.Learn(told[0], at)
			if !listingFirst {
				listing()
			}
			if usable := usableIDs(r)["t1"]; usable != c.usable || (r.records["t1"].held != nil) != c.held {
				t.Errorf("%s, listing first %v: usable %v, held %v", c.name, listingFirst, usable, (r.records["t1"].held != nil))
			}
		}
	}
}

// Guards against an instance that takes a target out of use because a peer tells it of a departure that it knew, when it has
// learned since that the target runs.
func TestKnownDepartureIsNotLearnedAgain(t *testing.T) {
	r, peer := New(heartbeat), New(heartbeat)
	for _, each := range []*Registry{r, peer} {
		each.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
		each.Apply(Change{ID: "t1", Offset: 2}, start)
	}
	at := start.Add(maxLateRecordAge)
	r.Merge(Change{ID: "t1", Offset: 3, Entry: report(7, 9)}, at)
	for _, c := range peer.RecentDepartures(at.Add(-time.Millisecond)) {
		if result := r.Learn(c, at); result != NothingNew || !usableIDs(r)["t1"] {
			t.Errorf("result %d, in use %v", result, usableIDs(r)["t1"])
		}
	}
	if told := peer.RecentDepartures(at); len(told) != 0 {
		t.Errorf("a departure is told although no late write can be left: %+v", told)
	}
}
