package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/topic"
)

// Guards against a registry, and states of peers, that grow with each target that was ever replaced.
func TestDepartedTargetsAreForgotten(t *testing.T) {
	r, now, offset := New(heartbeat), start, int64(0)
	const minutes, replaced = 60, 50
	for minute := range minutes {
		for i := range replaced {
			id := fmt.Sprintf("t%d-%d", minute, i)
			r.Apply(Change{ID: id, Offset: offset + 1, Entry: entry(id)}, now)
			r.Apply(Change{ID: id, Offset: offset + 2}, now)
			offset += 2
		}
		r.AdvanceReadPosition(topic.Position{Offset: offset + 1})
		now = now.Add(time.Minute)
		r.ForgetDeparted(now)
	}
	kept := replaced * int((departureMemory+2*pruneInterval)/time.Minute)
	if changes, _ := r.ChangesSince(topic.Position{}, now); len(changes) > kept {
		t.Errorf("%d of %d departed targets are known, want at most %d", len(changes), minutes*replaced, kept)
	}
}

// Guards against a departure that is forgotten too early, for a target that came back and departed again.
func TestForgettingStartsAtLastDeparture(t *testing.T) {
	r := New(heartbeat)
	r.Apply(Change{ID: "t1", Offset: 1, Entry: entry("t1")}, start)
	r.Apply(Change{ID: "t1", Offset: 2}, start)
	r.ForgetDeparted(start)
	back := start.Add(departureMemory)
	r.Apply(Change{ID: "t1", Offset: 3, Entry: entry("t1")}, back)
	r.Apply(Change{ID: "t1", Offset: 4}, back)
	r.ForgetDeparted(back.Add(time.Second))
	if changes, _ := r.ChangesSince(topic.Position{}, back); len(changes) != 1 {
		t.Error("a recent departure is forgotten")
	}
}

// Guards against departed targets that a peer keeps in use because the instance that tells it what it missed has forgotten them.
func TestPeerLearnsOfForgottenDeparture(t *testing.T) {
	r, peer := New(heartbeat), New(heartbeat)
	for _, each := range []*Registry{r, peer} {
		each.Replace([]Change{{ID: "t1", Offset: 1, Entry: entry("t1")}, {ID: "t2", Offset: 2, Entry: entry("t2")}}, topic.Position{Offset: 3}, start)
	}
	r.Apply(Change{ID: "t1", Offset: 3}, start)
	r.AdvanceReadPosition(topic.Position{Offset: 4})
	r.ForgetDeparted(start)
	now := start.Add(departureMemory + pruneInterval)
	r.ForgetDeparted(now)
	changes, from := r.ChangesSince(topic.Position{Offset: 3}, now)
	if from != (topic.Position{}) {
		t.Fatalf("changes are complete from %v, want a listing", from)
	}
	peer.Replace(changes, topic.Position{Offset: 4}, now)
	if ids := usableIDs(peer); ids["t1"] || !ids["t2"] {
		t.Errorf("usable targets %v, want t2", ids)
	}
}
