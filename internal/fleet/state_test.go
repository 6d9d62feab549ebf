package fleet

import (
	"testing"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

// Guards against a departed target that stays in use forever on an instance that missed the departure: the peer that it
// fetches the state from listed the targets later and never knew the departed one.
func TestPeerStateRemovesTargets(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	entry := func(id string) *registry.Entry {
		return &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	}
	n.registry.Apply(registry.Change{ID: "departed", Offset: 3, Entry: entry("departed")}, testStart)
	n.registry.Apply(registry.Change{ID: "stays", Offset: 4, Entry: entry("stays")}, testStart)
	n.targetsTopic.Known, n.targetsTopic.Next = true, topic.Position{Offset: 5}
	n.handleStateFetched(stateFetched{state: &State{
		TargetsListed: true, TargetsNext: 9, Targets: []registry.Change{{ID: "stays", Offset: 8, Entry: entry("stays")}},
	}}, testStart)
	usable := n.registry.Usable()
	if len(usable) != 1 || usable[0].ID != "stays" {
		t.Errorf("usable targets: %+v, want only stays", usable)
	}
}

// Guards against a new configuration that is sent together with all targets: in a large zone, leaders sent all 900
// targets to each of 80 members that only lacked the configuration, and some received it too late.
func TestStateOmitsWhatPeerKnows(t *testing.T) {
	const targets = 150
	peer, _ := nodeWithTargets(targets)
	n, _ := nodeWithTargets(targets)
	request := StateRequest{HaveConfig: true, HaveVersion: 1, TargetsNext: n.targetsTopic.Next.Offset}
	if state := peer.stateFor(request, testStart); len(state.Targets) != 0 || state.Config != nil {
		t.Errorf("%d targets and configuration %v are sent to a peer that has them", len(state.Targets), state.Config)
	}
	// The peer lists the targets: t0 has departed, t1 drains, and the others are unchanged.
	var listing []registry.Change
	known, _ := peer.registry.ChangesSince(topic.Position{}, testStart)
	for _, c := range known {
		if c.ID == "t0" {
			continue
		}
		if c.ID == "t1" {
			draining := *c.Entry
			draining.Draining = true
			c = registry.Change{ID: c.ID, Offset: targets + 7, Entry: &draining}
		}
		listing = append(listing, c)
	}
	peer.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: targets + 10}}, testStart)
	state := peer.stateFor(request, testStart)
	if len(state.Targets) != 2 {
		t.Errorf("%d targets instead of the two that changed", len(state.Targets))
	}
	n.handleStateFetched(stateFetched{state: &state}, testStart)
	if got := len(n.registry.Usable()); got != targets-2 || n.targetsTopic.Next.Offset != targets+10 {
		t.Errorf("%d usable targets, want %d; known up to %d, want %d", got, targets-2, n.targetsTopic.Next, targets+10)
	}
	if full := peer.stateFor(StateRequest{}, testStart); len(full.Targets) < targets-1 {
		t.Errorf("an instance that knows nothing is sent %d targets, want at least %d", len(full.Targets), targets-1)
	}
}
