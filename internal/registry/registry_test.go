package registry

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

var start = time.Unix(1_000_000, 0)

const heartbeat = 1500 * time.Millisecond

func entry(id string) *Entry {
	return &Entry{ID: id, Address: "10.0.0.1:80", Zone: "a", Service: "s", Slots: 4}
}

func usableIDs(r *Registry) map[string]bool {
	ids := map[string]bool{}
	for _, t := range r.Usable() {
		ids[t.ID] = true
	}
	return ids
}

// recordOutage records that the store gave no answer between two times.
func recordOutage(r *Registry, from, to time.Time) {
	r.StoreAnswered(from.Add(-time.Minute), from)
	r.StoreAnswered(to, to)
}

// Guards against requests to a target whose record says that it is draining or gone.
func TestDeparture(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
	draining := entry("t1")
	draining.Draining = true
	if !r.Apply(Change{ID: "t1", Offset: 2, Entry: draining}, start) || usableIDs(r)["t1"] {
		t.Error("a draining target is usable")
	}
	r.Apply(Change{ID: "t2", Offset: 3, Entry: entry("t2")}, start)
	if !r.Apply(Change{ID: "t2", Offset: 4}, start) || usableIDs(r)["t2"] {
		t.Error("a target without a record is usable")
	}
}

// Guards against a draining or departed target that becomes usable again because of an earlier heartbeat. The store may
// execute a heartbeat that got no answer after the report that the target is draining.
func TestEarlierHeartbeatDoesNotRestoreTarget(t *testing.T) {
	report := func(draining bool, born, sequence int64) *Entry {
		e := entry("t1")
		e.Draining, e.Born, e.Sequence = draining, born, sequence
		return e
	}
	for _, c := range []struct {
		name string
		next *Entry
		want bool
	}{
		{"earlier heartbeat", report(false, 7, 4), false}, {"later heartbeat", report(false, 7, 6), true},
		{"other incarnation", report(false, 9, 1), true}, {"without sequence", report(false, 7, 0), true},
	} {
		for _, removed := range []bool{false, true} {
			r := New(heartbeat)
			r.Apply(Change{ID: "t1", Offset: 1, Entry: report(true, 7, 5)}, start)
			if removed {
				r.Apply(Change{ID: "t1", Offset: 2}, start)
			}
			r.Apply(Change{ID: "t1", Offset: 3, Entry: c.next}, start)
			if got := usableIDs(r)["t1"]; got != c.want {
				t.Errorf("%s, removed %v: usable %v", c.name, removed, got)
			}
		}
	}
}

// Guards against an old record that arrives late, for example from a peer, and restores a target that is gone.
func TestOldRecordDoesNotRestoreTarget(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 5, Entry: entry("t1")}, start)
	r.Apply(Change{ID: "t1", Offset: 6}, start)
	if r.Apply(Change{ID: "t1", Offset: 5, Entry: entry("t1")}, start) || usableIDs(r)["t1"] {
		t.Error("an old record restored the target")
	}
	if !r.Apply(Change{ID: "t1", Offset: 7, Entry: entry("t1")}, start) || !usableIDs(r)["t1"] {
		t.Error("a new record did not restore the target")
	}
}

// Guards against heartbeats that count as changes, which would make every instance rebuild its view many times a second.
func TestHeartbeatIsNoChange(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
	if r.Apply(Change{ID: "t1", Offset: 2, Entry: entry("t1")}, start.Add(time.Second)) {
		t.Error("a heartbeat is a change")
	}
	warming := entry("t2")
	warming.WarmupLeft = 2 * time.Second
	r.Apply(Change{ID: "t2", Offset: 3, Entry: warming}, start)
	later := *warming
	later.WarmupLeft = time.Second
	if r.Apply(Change{ID: "t2", Offset: 4, Entry: &later}, start.Add(time.Second)) {
		t.Error("the progress of warming up is a change")
	}
}

// Guards against the loss of all targets when their entries expire during an outage of the store, and against the use of
// targets that did not register again after it.
func TestExpiryDuringOutage(t *testing.T) {
	cases := []struct {
		name string
		// after is the time from the end of the outage until the check.
		after        time.Duration
		reregistered bool
		want         bool
	}{
		{"just after the outage", 100 * time.Millisecond, false, true},
		{"registered again in time", OutageGracePeriod + time.Second, true, true},
		{"not registered again in time", OutageGracePeriod + time.Millisecond, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(heartbeat)
			r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
			storeUp := start.Add(5 * time.Second)
			recordOutage(r, start, storeUp)
			r.Apply(Change{ID: "t1", Offset: 2}, storeUp)
			if c.reregistered {
				r.Apply(Change{ID: "t1", Offset: 3, Entry: entry("t1")}, storeUp.Add(time.Second))
			}
			r.StoreAnswered(storeUp, storeUp.Add(c.after))
			r.EvictExpired(storeUp.Add(c.after), storeUp.Add(c.after))
			if got := usableIDs(r)["t1"]; got != c.want {
				t.Errorf("usable: %v", got)
			}
		})
	}
}

// Guards against attributing a removal to an outage although the store works, which would keep a departed target in use.
func TestRemovalWithoutOutageTakesEffect(t *testing.T) {
	r := New(heartbeat)
	recordOutage(r, start.Add(-time.Minute), start)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
	r.Apply(Change{ID: "t1", Offset: 2}, start.Add(OutageGracePeriod))
	if usableIDs(r)["t1"] {
		t.Error("a target is usable after its removal without an outage")
	}
}

// Guards against taking a departure for an expiry because the store rejected the instances that were due to read, or was
// down for a moment. The entry of a live target expires only after three heartbeats without an answer.
func TestRemovalAfterShortOutageTakesEffect(t *testing.T) {
	for _, c := range []struct {
		outage time.Duration
		want   bool
	}{{2*heartbeat - time.Millisecond, false}, {2 * heartbeat, true}} {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
		recordOutage(r, start, start.Add(c.outage))
		r.Apply(Change{ID: "t1", Offset: 2}, start.Add(c.outage))
		if got := usableIDs(r)["t1"]; got != c.want {
			t.Errorf("store down for %v: usable %v", c.outage, got)
		}
	}
}

// Guards against targets that stay usable although the store, after losing its history, no longer lists them.
func TestReplaceRemovesUnlistedTargets(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
	r.Apply(Change{ID: "t2", Offset: 2, Entry: entry("t2")}, start)
	r.Replace([]Change{{ID: "t2", Offset: 9, Entry: entry("t2")}, {ID: "bad", Offset: 10}}, topic.Position{Offset: 11}, start)
	if got := usableIDs(r); got["t1"] || !got["t2"] || len(got) != 1 {
		t.Errorf("usable: %v", got)
	}
}
