package registry

import (
	"testing"
	"time"
)

var begin = time.Unix(1_000_000, 0)

const heartbeat = 1500 * time.Millisecond

func entry(id string) *Entry {
	return &Entry{ID: id, Address: "10.0.0.1:80", Zone: "a", Service: "s", Slots: 4}
}

func usable(r *Registry) map[string]bool {
	ids := map[string]bool{}
	for _, t := range r.Usable() {
		ids[t.ID] = true
	}
	return ids
}

// Guards against requests to a target after its record said that it drains or is gone.
func TestDeparture(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
	draining := entry("t1")
	draining.Draining = true
	if !r.Apply(Change{ID: "t1", Offset: 2, Entry: draining}, begin) || usable(r)["t1"] {
		t.Error("a draining target is usable")
	}
	r.Apply(Change{ID: "t2", Offset: 3, Entry: entry("t2")}, begin)
	if !r.Apply(Change{ID: "t2", Offset: 4}, begin) || usable(r)["t2"] {
		t.Error("a target without a record is usable")
	}
}

// Guards against a target that drains and comes back into use, also after it left, when an earlier heartbeat of it that got no answer is
// executed by the store after the report.
func TestEarlierHeartbeatDoesNotReturnTarget(t *testing.T) {
	said := func(draining bool, born, sequence int64) *Entry {
		e := entry("t1")
		e.Draining, e.Born, e.Sequence = draining, born, sequence
		return e
	}
	for _, c := range []struct {
		name string
		next *Entry
		want bool
	}{
		{"earlier heartbeat", said(false, 7, 4), false}, {"later heartbeat", said(false, 7, 6), true},
		{"other incarnation", said(false, 9, 1), true}, {"without sequence", said(false, 7, 0), true},
	} {
		for _, removed := range []bool{false, true} {
			r := New(heartbeat)
			r.Apply(Change{ID: "t1", Offset: 1, Entry: said(true, 7, 5)}, begin)
			if removed {
				r.Apply(Change{ID: "t1", Offset: 2}, begin)
			}
			r.Apply(Change{ID: "t1", Offset: 3, Entry: c.next}, begin)
			if got := usable(r)["t1"]; got != c.want {
				t.Errorf("%s, removed %v: usable %v", c.name, removed, got)
			}
		}
	}
}

// Guards against an old record that arrives late, for example from a peer, and brings a gone target back.
func TestOldRecordDoesNotReturnTarget(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 5, Entry: entry("t1")}, begin)
	r.Apply(Change{ID: "t1", Offset: 6}, begin)
	if r.Apply(Change{ID: "t1", Offset: 5, Entry: entry("t1")}, begin) || usable(r)["t1"] {
		t.Error("an old record returned the target")
	}
	if !r.Apply(Change{ID: "t1", Offset: 7, Entry: entry("t1")}, begin) || !usable(r)["t1"] {
		t.Error("a new record did not return the target")
	}
}

// Guards against heartbeats that count as changes, which would rebuild the view of every instance many times a second.
func TestHeartbeatIsNoChange(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
	if r.Apply(Change{ID: "t1", Offset: 2, Entry: entry("t1")}, begin.Add(time.Second)) {
		t.Error("a heartbeat is a change")
	}
	warming := entry("t2")
	warming.WarmupLeft = 2 * time.Second
	r.Apply(Change{ID: "t2", Offset: 3, Entry: warming}, begin)
	warmer := *warming
	warmer.WarmupLeft = time.Second
	if r.Apply(Change{ID: "t2", Offset: 4, Entry: &warmer}, begin.Add(time.Second)) {
		t.Error("the progress of warming up is a change")
	}
}

// Guards against the loss of all targets when their entries lapse during an outage of the store, and against the use of
// targets that did not come back after it.
func TestLapseDuringOutage(t *testing.T) {
	cases := []struct {
		name string
		// after is the time between the return of the store and the look.
		after time.Duration
		back  bool
		want  bool
	}{
		{"just after the return", 100 * time.Millisecond, false, true},
		{"back in time", OutageGracePeriod + time.Second, true, true},
		{"not back in time", OutageGracePeriod + time.Millisecond, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(heartbeat)
			r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
			r.StoreDown(begin)
			r.StoreUp(begin.Add(5 * time.Second))
			returned := begin.Add(5 * time.Second)
			r.Apply(Change{ID: "t1", Offset: 2}, returned)
			if c.back {
				r.Apply(Change{ID: "t1", Offset: 3, Entry: entry("t1")}, returned.Add(time.Second))
			}
			r.EvictExpired(returned.Add(c.after))
			if got := usable(r)["t1"]; got != c.want {
				t.Errorf("usable: %v", got)
			}
		})
	}
}

// Guards against a lapse that is taken for an outage while the store works, which would keep a departed target in use.
func TestRemovalWithoutOutageBinds(t *testing.T) {
	r := New(heartbeat)
	r.StoreDown(begin.Add(-time.Minute))
	r.StoreUp(begin)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
	r.Apply(Change{ID: "t1", Offset: 2}, begin.Add(disturbedAfter))
	if usable(r)["t1"] {
		t.Error("a target is usable after its removal in calm time")
	}
}

// Guards against a departure that is taken for a lapse because the store turned those away whose turn it was to read, or was away for a
// moment: the entry of a living target lapses after three heartbeats without an answer.
func TestRemovalBindsWhenNoEntryCanHaveLapsed(t *testing.T) {
	for _, c := range []struct {
		silent time.Duration
		want   bool
	}{{2*heartbeat - time.Millisecond, false}, {2 * heartbeat, true}} {
		r := New(heartbeat)
		r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
		r.StoreDown(begin)
		r.StoreUp(begin.Add(c.silent))
		r.Apply(Change{ID: "t1", Offset: 2}, begin.Add(c.silent))
		if got := usable(r)["t1"]; got != c.want {
			t.Errorf("store silent for %v: usable %v", c.silent, got)
		}
	}
}

// Guards against targets that stay after the store forgot its history and lists them no more.
func TestListingReplaces(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, begin)
	r.Apply(Change{ID: "t2", Offset: 2, Entry: entry("t2")}, begin)
	r.Replace([]Change{{ID: "t2", Offset: 9, Entry: entry("t2")}, {ID: "bad", Offset: 10}}, 11, begin)
	if got := usable(r); got["t1"] || !got["t2"] || len(got) != 1 {
		t.Errorf("usable: %v", got)
	}
}
