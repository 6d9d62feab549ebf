package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// Guards against one message that takes the process down, and with it all instances that receive it: of a peer, and of the
// store, whose topics must be read again after it.
func TestPanicEndsOneMessage(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	ctx := context.Background()
	n.handleSafely(ctx, received{}, begin)
	n.handleSafely(ctx, stateFetched{}, begin)
	n.targets.reading, n.joining = 1, true
	n.registry = nil
	n.handleSafely(ctx, targetsRead{began: begin, changes: []registry.Change{{ID: "t"}}}, begin)
	if n.Panics() != 3 {
		t.Errorf("%d panics were counted, want 3", n.Panics())
	}
	n.registry = registry.New(targetHeartbeat)
	if n.targets.reading > 0 || n.joining || !n.targets.due(begin.Add(lastBackoff), turn{rank: 0, reader: true, first: begin}) {
		t.Error("the targets are not read again")
	}
	n.handleSafely(ctx, received{datagram: &datagram{From: "b1", Started: 1}, from: "127.0.0.1:9"}, begin)
	if n.Panics() != 3 {
		t.Error("the next message is not handled")
	}
}

// Guards against a target that had left and comes back into use after a restart of instances: one starts with the newest
// list, and a peer that knows an older state tells it.
func TestOlderPeerDoesNotReturnTargets(t *testing.T) {
	entry := &registry.Entry{ID: "left", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n := quietNode(t, member("a1", "a"))
	n.handleTargets(targetsRead{began: begin, listed: true, next: 9}, begin)
	peer := member("a2", "a")
	n.members.learn(peer, begin)
	old := []registry.Change{{ID: "left", Offset: 3, Entry: entry}}
	n.handleDatagram(context.Background(), received{datagram: &datagram{
		From: "a2", Started: peer.Started, Targets: &targetsNote{Base: 0, Next: 5, Changes: old},
	}}, begin)
	n.handleState(stateFetched{state: &State{TargetsListed: true, TargetsNext: 5, Targets: old}}, begin)
	if usable := n.registry.Usable(); len(usable) != 0 {
		t.Errorf("targets came back: %+v", usable)
	}
	n.handleDatagram(context.Background(), received{datagram: &datagram{
		From: "a2", Started: peer.Started, Targets: &targetsNote{Base: 3, Next: 12, Changes: old},
	}}, begin.Add(time.Second))
	if usable := n.registry.Usable(); len(usable) != 0 {
		t.Errorf("an old record in a newer note brought them back: %+v", usable)
	}
}

// Guards against marks of requests that crash targets that reach only some instances: the caller comes again at any of them.
func TestCrashMarksReachAll(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	f := &testFleet{store: &fakeStore{}, capacity: usualCapacity}
	f.crashMark = func(id, key string) bool {
		mu.Lock()
		defer mu.Unlock()
		news := key == "k" && !seen[id]
		seen[id] = true
		return news
	}
	f.fill(t, 6)
	f.await(t, "members", func(n *Node) bool { return n.View().Instances == 6 })
	f.nodes[5].SpreadCrashMark("k", []byte{1})
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		reached := 0
		for _, n := range f.nodes[:5] {
			if seen[n.Self.ID] {
				reached++
			}
		}
		mu.Unlock()
		if reached == 5 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the mark reached %d of 5 other instances", reached)
		}
	}
}

// Guards against a target that left and stays in use on an instance for good: the peer that tells the instance what changed since has
// listed the targets after the departure, at its start or because the store forgot its history, and never knew of the target.
func TestDepartureBeforeTheListingOfAPeer(t *testing.T) {
	entry := &registry.Entry{ID: "left", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	started := quietNode(t, member("a2", "a"))
	started.handleTargets(targetsRead{began: begin, listed: true, next: 9}, begin)
	trimmed := quietNode(t, member("a3", "a"))
	trimmed.handleTargets(targetsRead{began: begin, listed: true, next: 4}, begin)
	trimmed.handleTargets(targetsRead{began: begin, listed: true, next: 9}, begin)
	for name, peer := range map[string]*Node{"started": started, "trimmed": trimmed} {
		n := quietNode(t, member("a1", "a"))
		listing := []registry.Change{{ID: "left", Offset: 5, Entry: entry}}
		n.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: 6}, begin)
		state := peer.state(StateRequest{TargetsNext: n.targets.next}, begin)
		n.handleState(stateFetched{state: &state}, begin)
		if usable := n.registry.Usable(); len(usable) != 0 || n.targets.next != 9 {
			t.Errorf("%s: usable targets %+v, known up to %d", name, usable, n.targets.next)
		}
	}
}

// Guards against a target that left during an outage of the store and stays in use for good on an instance that started meanwhile: the
// state of a peer named it as registered. It also guards against an instance that starts without the targets whose entries lapsed.
func TestStateOfAPeerTellsLapsedEntries(t *testing.T) {
	const away = 5 * time.Second
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	peer := quietNode(t, member("a1", "a"))
	listing := []registry.Change{{ID: "t", Offset: 1, Entry: entry}}
	peer.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: 2}, begin)
	peer.noteAvailability(begin.Add(away))
	returned := begin.Add(away + time.Millisecond)
	peer.handleTargets(targetsRead{began: returned, changes: []registry.Change{{ID: "t", Offset: 2}}, next: 3}, returned)

	n, started := quietNode(t, member("a2", "a")), returned.Add(time.Second)
	state := peer.state(StateRequest{}, started)
	n.handleState(stateFetched{state: &state}, started)
	if len(n.registry.Usable()) != 1 {
		t.Error("the lapsed target is not in use on the instance that started")
	}
	for _, node := range []*Node{peer, n} {
		node.registry.Expire(returned.Add(registry.LapseGrace - time.Millisecond))
		if len(node.registry.Usable()) != 1 {
			t.Errorf("%s gave the target up before it could come back", node.Self.ID)
		}
		node.registry.Expire(returned.Add(registry.LapseGrace + time.Millisecond))
		if len(node.registry.Usable()) != 0 {
			t.Errorf("%s uses a target that did not come back", node.Self.ID)
		}
	}
}

// Guards against requests of an earlier configuration that are sent to a target which left after their service lost its routes.
func TestDepartureReachesServicesWithoutRoutes(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", begin)
	listing := []registry.Change{{ID: "t", Offset: 1, Entry: entry}}
	n.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: 2}, begin)
	pool := n.View().Pools["s"]
	n.applyConfig(&routes.Config{Version: 2, Services: []routes.Service{{Name: "other"}}}, "store", begin)
	n.handleTargets(targetsRead{began: begin, changes: []registry.Change{{ID: "t", Offset: 2}}, next: 3}, begin)
	if pool.Target("t") != nil {
		t.Error("a waiting request may still be sent to the target")
	}
}
