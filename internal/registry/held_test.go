package registry

import (
	"testing"
	"time"
)

// holdLateEntry returns a registry in which the target departed and an entry with a higher sequence than any that was read is held.
func holdLateEntry(t *testing.T) *Registry {
	t.Helper()
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	r.Apply(Change{ID: "t1", Offset: 2}, start)
	if effect := r.Merge(Change{ID: "t1", Offset: 3, Entry: report(7, 9)}, start.Add(time.Second)); effect != Held {
		t.Fatalf("effect %d, want Held", effect)
	}
	return r
}

// Guards against a running target that is kept out of use although it answers, and against an answer from before its entry was held
// that counts for it.
func TestAnsweringTargetIsUsed(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers time.Time
		want    bool
	}{
		{"answer from before the entry", start.Add(500 * time.Millisecond), false},
		{"answer from after it", start.Add(1100 * time.Millisecond), true},
	} {
		r := holdLateEntry(t)
		if held := r.HeldAfterDeparture(); len(held) != 1 || held[0].Sequence != 9 {
			t.Fatalf("%s: held %+v, want the late entry", c.name, held)
		}
		now := start.Add(1200 * time.Millisecond)
		_, found := r.FoundRunning("t1", c.answers, now)
		if found != c.want || usableIDs(r)["t1"] != c.want {
			t.Errorf("%s: found %t, in use %t, want %t", c.name, found, usableIDs(r)["t1"], c.want)
		}
		if c.want && len(r.HeldAfterDeparture()) != 0 {
			t.Errorf("%s: the entry is still held", c.name)
		}
	}
}

// Guards against an answer of the new incarnation that counts for a held entry of an earlier one.
func TestAnswerCountsForDepartedIncarnationOnly(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
	if effect := r.Merge(Change{ID: "t1", Offset: 2, Entry: report(6, 5)}, start.Add(time.Second)); effect != Held {
		t.Fatalf("effect %d, want Held", effect)
	}
	if _, found := r.FoundRunning("t1", start.Add(2*time.Second), start.Add(2*time.Second)); found || len(r.HeldAfterDeparture()) != 0 {
		t.Error("an answer decides about an entry of another incarnation")
	}
}

// Guards against instances that keep a target out of use although another one found it running, whatever they knew of it.
func TestPeersUseAnsweringTarget(t *testing.T) {
	now := start.Add(2 * time.Second)
	change, found := holdLateEntry(t).FoundRunning("t1", now, now)
	if !found {
		t.Fatal("the target was not found running")
	}
	departedOnly := func() *Registry {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: report(7, 3)}, start)
		r.Apply(Change{ID: "t1", Offset: 2}, start)
		return r
	}
	for name, peer := range map[string]*Registry{"holds the entry": holdLateEntry(t), "has not read the entry": departedOnly(), "knows nothing": New(heartbeat)} {
		if peer.Merge(change, now) != Changed || !usableIDs(peer)["t1"] {
			t.Errorf("a peer that %s does not use the target", name)
		}
	}
	peer := holdLateEntry(t)
	if result := peer.Learn(change, now); result != FoundRunningByPeer || !usableIDs(peer)["t1"] {
		t.Errorf("result %d, want FoundRunningByPeer", result)
	}
	if result := peer.Learn(change, now); result != NothingNew {
		t.Errorf("result %d of a repeated change, want NothingNew", result)
	}
	peer.Apply(Change{ID: "t1", Offset: 4}, now)
	if peer.Merge(change, now) == Changed || peer.Learn(change, now) != NothingNew || usableIDs(peer)["t1"] {
		t.Error("a repeated change brings a target back that departed since")
	}
}
