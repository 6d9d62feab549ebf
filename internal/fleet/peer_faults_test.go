package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// Guards against one message that crashes the process, and with it all instances that receive it. After a message of
// the store, its topics must be read again.
func TestPanicDropsOnlyOneMessage(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	ctx := context.Background()
	n.handleGuarded(ctx, datagramReceived{}, testStart)
	n.handleGuarded(ctx, stateFetched{}, testStart)
	n.targetsTopic.ReadStarted(testStart)
	n.joinInFlight = true
	n.registry = nil
	n.handleGuarded(ctx, targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t"}}}, testStart)
	if n.Panics() != 3 {
		t.Errorf("%d panics were counted, want 3", n.Panics())
	}
	n.registry = registry.New(targetHeartbeat)
	if n.targetsTopic.Reading() || n.joinInFlight || !n.targetsTopic.Due(testStart.Add(storeread.MaxBackoff), storeread.Priority{Rank: 0, IsLeader: true, FirstRead: testStart}) {
		t.Error("the targets are not read again")
	}
	n.handleGuarded(ctx, datagramReceived{datagram: &datagram{From: "b1", Started: 1}, from: "127.0.0.1:9"}, testStart)
	if n.Panics() != 3 {
		t.Error("the next message is not handled")
	}
}

// Guards against a departed target that comes back into use after a restart of instances, because a peer with an older
// state sends its record to an instance that started with the newest listing.
func TestOlderPeerStateDoesNotRestoreTargets(t *testing.T) {
	entry := &registry.Entry{ID: "departed", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n := newQuietNode(t, newMember("a1", "a"))
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 9}}, testStart)
	peer := newMember("a2", "a")
	n.members.add(peer, testStart)
	old := []registry.Change{{ID: "departed", Offset: 3, Entry: entry}}
	n.handleDatagram(context.Background(), datagramReceived{datagram: &datagram{
		From: "a2", Started: peer.Started, Targets: &targetsUpdate{Base: 0, Next: 5, Changes: old},
	}}, testStart)
	n.handleStateFetched(stateFetched{state: &State{TargetsListed: true, TargetsNext: 5, Targets: old}}, testStart)
	if usable := n.registry.Usable(); len(usable) != 0 {
		t.Errorf("targets are usable again: %+v", usable)
	}
	n.handleDatagram(context.Background(), datagramReceived{datagram: &datagram{
		From: "a2", Started: peer.Started, Targets: &targetsUpdate{Base: 3, Next: 12, Changes: old},
	}}, testStart.Add(time.Second))
	if usable := n.registry.Usable(); len(usable) != 0 {
		t.Errorf("targets are usable again after an old record in a newer update: %+v", usable)
	}
}

// Guards against crash marks that reach only some instances: the caller may retry at any of them.
func TestCrashMarksReachAllInstances(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	f := &testFleet{store: &fakeStore{}, capacity: testCapacity}
	f.mergeCrashMark = func(id, key string) bool {
		mu.Lock()
		defer mu.Unlock()
		changed := key == "k" && !seen[id]
		seen[id] = true
		return changed
	}
	f.startNodes(t, 6)
	f.waitFor(t, "members", func(n *Node) bool { return n.View().Instances == 6 })
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

// Guards against a departed target that stays in use forever on an instance: the peer that sends it the changes listed
// the targets only after the departure, at its start or because the store trimmed its history, and never knew of the
// target.
func TestDepartureBeforePeerListing(t *testing.T) {
	entry := &registry.Entry{ID: "departed", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	started := newQuietNode(t, newMember("a2", "a"))
	started.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 9}}, testStart)
	trimmed := newQuietNode(t, newMember("a3", "a"))
	trimmed.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 4}}, testStart)
	trimmed.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 9}}, testStart)
	for name, peer := range map[string]*Node{"started": started, "trimmed": trimmed} {
		n := newQuietNode(t, newMember("a1", "a"))
		listing := []registry.Change{{ID: "departed", Offset: 5, Entry: entry}}
		n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 6}}, testStart)
		state := peer.stateFor(StateRequest{TargetsNext: n.targetsTopic.Next.Offset}, testStart)
		n.handleStateFetched(stateFetched{state: &state}, testStart)
		if usable := n.registry.Usable(); len(usable) != 0 || n.targetsTopic.Next.Offset != 9 {
			t.Errorf("%s: usable targets %+v, known up to %d; want no targets, known up to 9", name, usable, n.targetsTopic.Next)
		}
	}
}

// Guards against a target that departed during an outage of the store and stays in use forever on an instance that
// started meanwhile, because the state of a peer still named it as registered. It also guards against an instance that
// starts without the targets whose entries expired.
func TestPeerStateIncludesExpiredEntries(t *testing.T) {
	const away = 5 * time.Second
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	peer := newQuietNode(t, newMember("a1", "a"))
	listing := []registry.Change{{ID: "t", Offset: 1, Entry: entry}}
	peer.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 2}}, testStart)
	peer.updateStoreAvailability(testStart.Add(away))
	returned := testStart.Add(away + time.Millisecond)
	peer.handleTargetsRead(targetsRead{startedAt: returned, changes: []registry.Change{{ID: "t", Offset: 2}}, next: topic.Position{Offset: 3}}, returned)

	n, started := newQuietNode(t, newMember("a2", "a")), returned.Add(time.Second)
	state := peer.stateFor(StateRequest{}, started)
	n.handleStateFetched(stateFetched{state: &state, requestedAt: started}, started)
	if len(n.registry.Usable()) != 1 {
		t.Error("the target with an expired entry is not in use on the instance that started")
	}
	for _, node := range []*Node{peer, n} {
		node.registry.StoreAnswered(returned, returned.Add(registry.OutageGracePeriod))
		readAt := returned.Add(registry.OutageGracePeriod)
		node.registry.EvictExpired(returned.Add(registry.OutageGracePeriod-time.Millisecond), readAt)
		if len(node.registry.Usable()) != 1 {
			t.Errorf("%s dropped the target within its grace period", node.Self.ID)
		}
		node.registry.EvictExpired(returned.Add(registry.OutageGracePeriod+time.Millisecond), readAt)
		if len(node.registry.Usable()) != 0 {
			t.Errorf("%s uses the target after its grace period", node.Self.ID)
		}
	}
}

// Guards against requests of an earlier configuration that are sent to a target that departed after their service lost
// its routes.
func TestDepartureReachesServicesWithoutRoutes(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	listing := []registry.Change{{ID: "t", Offset: 1, Entry: entry}}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 2}}, testStart)
	pool := n.View().Pools["s"]
	n.applyConfig(&routes.Config{Version: 2, Services: []routes.Service{{Name: "other"}}}, "store", testStart)
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 2}}, next: topic.Position{Offset: 3}}, testStart)
	if pool.Target("t") != nil {
		t.Error("a waiting request may still be sent to the target")
	}
}

// Guards against a target that was given up at the end of its grace period and is then told as registered: the changes that
// an instance repeats hold the last entry of an expired target.
func TestGivenUpTargetIsNotRepeatedAsRegistered(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	returned := testStart.Add(5 * time.Second)
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 2}}, testStart)
	n.registry.StoreAnswered(returned, returned)
	fetchedAt := returned.Add(registry.OutageGracePeriod - 500*time.Millisecond)
	n.handleStateFetched(stateFetched{requestedAt: fetchedAt, state: &State{
		TargetsListed: true, TargetsNext: 4, TargetsFrom: 2, StoreAnswering: fetchedAt.Sub(returned),
		Targets: []registry.Change{{ID: "t", Offset: 3, Entry: entry, Lapsed: true, Hold: 500 * time.Millisecond}},
	}}, fetchedAt)
	if len(n.registry.Usable()) != 1 {
		t.Fatal("the expired target is not in use in its grace period")
	}
	ended := returned.Add(registry.OutageGracePeriod)
	n.registry.StoreAnswered(returned, ended)
	n.registry.EvictExpired(ended, ended)
	for _, c := range n.targetsUpdate(ended).Changes {
		if c.Entry != nil {
			t.Errorf("the given up target is told as registered: %+v", c)
		}
	}
}
