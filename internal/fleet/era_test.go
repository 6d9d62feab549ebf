package fleet

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

func listedTarget(id string, p topic.Position) registry.Change {
	entry := &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4, Born: 1, Sequence: 1}
	return registry.Change{ID: id, Offset: p.Offset, Era: p.Era, Entry: entry}
}

// nodeInEra returns a node that has listed one target in an era of the store.
func nodeInEra(t *testing.T, id string, era int64) *Node {
	t.Helper()
	n := newQuietNode(t, newMember(id, "a"))
	listInEra(n, era)
	return n
}

// listInEra makes a node list a configuration and one target in an era of the store.
func listInEra(n *Node, era int64) {
	next := topic.Position{Era: era, Offset: 5}
	listing := []registry.Change{listedTarget("t1", topic.Position{Era: era, Offset: 4})}
	config := &routes.Config{Version: 3, Services: []routes.Service{{Name: "s"}}}
	n.handleConfigsRead(configsRead{startedAt: testStart, records: discovery.OperatorRecords{Configs: []*routes.Config{config}}, next: next}, testStart)
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: next}, testStart)
}

// Guards against an answer of an earlier era that arrives late, on another connection, and is taken for the newest state: its
// records, its end, or only its time.
func TestLateAnswerOfEarlierEra(t *testing.T) {
	n := nodeInEra(t, "a1", 2)
	later := testStart.Add(time.Second)
	old := topic.Position{Era: 1, Offset: 9}
	n.handleTargetsRead(targetsRead{startedAt: later, changes: []registry.Change{{ID: "t1", Offset: 8, Era: 1}}, next: old}, later)
	n.handleTargetsRead(targetsRead{startedAt: later, complete: true, next: old}, later)
	n.handleConfigsRead(configsRead{startedAt: later, next: old}, later)
	if len(n.registry.Usable()) != 1 || n.targetsTopic.Next.Era != 2 || n.configsTopic.Next.Era != 2 {
		t.Errorf("usable %+v, read up to %+v and %+v", n.registry.Usable(), n.targetsTopic.Next, n.configsTopic.Next)
	}
	if n.targetsTopic.AsOf.After(testStart) || n.configsTopic.AsOf.After(testStart) {
		t.Error("an answer of an earlier era counts as a read of the newest one")
	}
}

// Guards against an instance that goes on from its own offset when a peer tells of a newer era: the offset is that of another
// record there.
func TestPeerTellsOfNewerEra(t *testing.T) {
	n, peer := nodeInEra(t, "a1", 1), nodeInEra(t, "a2", 1)
	again := topic.Position{Era: 2, Offset: 3}
	listing := []registry.Change{listedTarget("t2", topic.Position{Era: 2, Offset: 2})}
	peer.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: again}, testStart)

	if n.mergeTargetsUpdate(peer.targetsUpdate(testStart), testStart); !n.targetsTopic.Behind || n.targetsTopic.Next.Era != 1 {
		t.Fatalf("behind %v, read up to %+v", n.targetsTopic.Behind, n.targetsTopic.Next)
	}
	state := peer.stateFor(StateRequest{TargetsNext: n.targetsTopic.Next.Offset, TargetsEra: n.targetsTopic.Next.Era}, testStart)
	n.handleStateFetched(stateFetched{state: &state, requestedAt: testStart}, testStart)
	if n.targetsTopic.Next != again || n.Store.(*storeClient).learned != 2 {
		t.Errorf("read up to %+v, the store's client knows era %d", n.targetsTopic.Next, n.Store.(*storeClient).learned)
	}
	if usable := n.registry.Usable(); len(usable) != 2 {
		t.Errorf("usable targets %+v, want t2 and t1, which may write its entry again", usable)
	}
	if n.traffic.StoreRestores() != 1 {
		t.Errorf("%d restores were counted", n.traffic.StoreRestores())
	}
}

// Guards against a rolling replacement in which instances that know no eras stop those that do, or the other way round.
func TestPeerThatKnowsNoEras(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	answering := int64(0)
	update := &targetsUpdate{Base: 5, Next: 9, StoreAnsweringMS: &answering, Changes: []registry.Change{{ID: "t1", Offset: 8}}}
	if n.mergeTargetsUpdate(update, testStart); n.targetsTopic.Behind || n.targetsTopic.Next.Offset != 5 || len(n.registry.Usable()) != 1 {
		t.Errorf("behind %v, read up to %+v", n.targetsTopic.Behind, n.targetsTopic.Next)
	}

	started := newQuietNode(t, newMember("a2", "a"))
	state := &State{
		Config: &routes.Config{Version: 3, Services: []routes.Service{{Name: "s"}}}, ConfigListed: true, ConfigNext: 5,
		TargetsListed: true, TargetsNext: 5, Targets: []registry.Change{listedTarget("t1", topic.Position{Offset: 4})},
	}
	started.handleStateFetched(stateFetched{state: state, requestedAt: testStart}, testStart)
	if started.View() == nil {
		t.Fatal("an instance does not serve with the state of a peer that knows no eras")
	}
	started.Store.(*storeClient).era = 1
	if started.era.Notice(started.Store.Era(), testStart); started.targetsPriority(testStart, 0).RequiredAsOf != testStart {
		t.Error("the targets are not listed when the store tells an era for the first time")
	}
}

// restoredAt is long after the instances wrote to the store and compared the crash marks with it.
const restoredAt = settlingTime + 10*time.Second

// Guards against reading on from a position of an earlier era than the one that is known, which takes a call more: the store
// refuses it before the topic is listed.
func TestTopicsOfEarlierEraAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := nodeInEra(t, "a1", 1)
		client := virtualStoreClient{&virtualStore{era: 2}, "a1"}
		client.LearnEra(2)
		n.Store = client
		n.era.Notice(n.Store.Era(), testStart.Add(time.Millisecond))
		n.readConfigs(t.Context(), testStart.Add(storeread.TargetsInterval), 0)
		n.readTargets(t.Context(), testStart.Add(storeread.TargetsInterval), 0)
		time.Sleep(time.Second)
		client.update(func() {
			if client.calls != 2 {
				t.Errorf("%d calls to list two topics, want 2", client.calls)
			}
		})
	})
}

// restoreFleet runs a small fleet with a stored crash mark, restores its store from a copy of before the instances wrote to it,
// and returns the store some seconds later.
func restoreFleet(t *testing.T, lost time.Duration) *virtualStore {
	t.Helper()
	sim := newSimulation(schedule{instancesPerZone: 2}, 1)
	sim.store.era = 1
	marks := &sharedMarks{refused: map[string]bool{}}
	sim.onConfigure = func(_ int, c *Config) { c.CrashMarks = marks }
	sim.onAllStarted = func() {
		sim.after(3*time.Second, func() { marks.refuse("k", true) })
		sim.after(restoredAt, func() { sim.store.restore(lost) })
	}
	synctest.Test(t, func(*testing.T) { sim.run(rand.New(rand.NewPCG(1, 30))) })
	if len(sim.failures) > 0 {
		t.Errorf("%v", sim.failures)
	}
	return sim.store
}

// Guards against what the instances wrote to the store and is lost with a restore: without the announcements nobody finds the
// fleet, and after a restart of all instances a request that is refused would crash targets again.
func TestOwnWritesAfterRestore(t *testing.T) {
	store := restoreFleet(t, restoredAt)
	zones := map[string]bool{}
	for _, m := range store.members {
		zones[m.Zone] = true
	}
	if len(zones) != scheduleZones {
		t.Errorf("members of %d zones are announced after the restore, want %d: %+v", len(zones), scheduleZones, store.members)
	}
	if _, stored := store.marks["k"]; !stored {
		t.Errorf("the crash mark is not stored after the restore: %v", store.marks)
	}
}

var restoreCosts = flag.Bool("fleet.restorecosts", false, "measure the calls after a restore with the largest fleet too")

// callsAfter returns how many calls a fleet makes in the 10 s after the store was away for a second and came back, from a copy of
// some time before if lost is not 0.
func callsAfter(t *testing.T, instancesPerZone int, lost time.Duration) int {
	sim := newSimulation(schedule{instancesPerZone: instancesPerZone}, 1)
	sim.store.era = 1
	before, after := 0, 0
	const awayFrom = settlingTime + 3*time.Second
	sim.onAllStarted = func() {
		sim.after(awayFrom, func() { sim.store.update(func() { sim.store.behavior = storeRefuses }) })
		sim.after(awayFrom+time.Second, func() {
			if lost > 0 {
				sim.store.restore(lost)
			}
			sim.store.update(func() { sim.store.behavior, before = storeServes, sim.store.calls })
		})
		sim.after(awayFrom+11*time.Second, func() { sim.store.update(func() { after = sim.store.calls }) })
	}
	synctest.Test(t, func(*testing.T) { sim.run(rand.New(rand.NewPCG(1, 30))) })
	return after - before
}

// Guards against a storm of calls when the era rises: the readers list once and tell the others.
func TestFewStoreCallsAfterRestore(t *testing.T) {
	sizes := []int{7, 15}
	if *restoreCosts {
		sizes = []int{7, 46, 157}
	}
	const largestFactor = 1.5
	for _, perZone := range sizes {
		restart, restored := callsAfter(t, perZone, 0), callsAfter(t, perZone, 6*time.Second)
		t.Logf("%d instances: %d calls in the 10 s after a restart of the store, %d after a restore", perZone*scheduleZones, restart, restored)
		if float64(restored) > largestFactor*float64(restart) {
			t.Errorf("%d instances: %d calls in the 10 s after a restore, %d after a restart without loss", perZone*scheduleZones, restored, restart)
		}
	}
}

// Guards against an instance that starts with the older configuration of a restored store while a peer of another zone told of a
// newer one, and against one that waits for good if that peer cannot be reached.
func TestStartsWithNewestToldConfiguration(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	config := func(version uint64) *routes.Config {
		return &routes.Config{Version: version, Services: []routes.Service{{Name: "s"}}}
	}
	n.newerConfig.tell(3, "127.0.0.1:9", testStart)
	next := topic.Position{Era: 2, Offset: 2}
	n.handleConfigsRead(configsRead{startedAt: testStart, records: discovery.OperatorRecords{Configs: []*routes.Config{config(2)}}, next: next}, testStart)
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: next}, testStart)
	if n.View() != nil {
		t.Fatal("the older configuration is in force")
	}
	n.fetchNewerConfig(t.Context(), testStart)
	if !n.fetchInFlight {
		t.Error("the newer configuration is not fetched from the peer that told of it")
	}
	n.fetchNewerConfig(t.Context(), testStart.Add(withholdTime))
	if n.configVersion() != 2 {
		t.Errorf("configuration %d is in force after the wait, want that of the store", n.configVersion())
	}
}

// Guards against records that this instance skips because they change nothing for it, while another one took their target for
// expired: the two listed the store at different times.
func TestUnchangedEntriesAreRepeatedAfterRestore(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	listing := []registry.Change{listedTarget("t1", topic.Position{Era: 2, Offset: 2})}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Era: 2, Offset: 3}}, testStart)
	again := listedTarget("t1", topic.Position{Era: 2, Offset: 3})
	again.Entry.Sequence = 2
	read := targetsRead{startedAt: testStart, changes: []registry.Change{again}, next: topic.Position{Era: 2, Offset: 4}}
	n.handleTargetsRead(read, testStart)
	if changes := n.targetsUpdate(testStart).Changes; len(changes) != 1 || changes[0].Position() != again.Position() {
		t.Errorf("repeated changes %+v, want the entry of t1", changes)
	}
}

// Guards against leaders and members that list a restored store themselves while they fetch its listing from a peer, and against
// waiting for good for a peer that cannot be reached.
func TestListingOfNewEraIsFetchedFromPeer(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	n.isLeader = true
	n.members.add(newMember("b1", "b"), testStart)
	at := testStart.Add(2 * time.Second)
	listed := &targetsUpdate{Base: 2, BaseEra: 2, Next: 2, NextEra: 2, Answer: storeread.AnswerID{Reader: 1, Number: 1}}
	n.applyUpdate(t.Context(), &datagram{Targets: listed}, n.members.remotePeers["b"][0], at, at)
	if !n.fetchInFlight || n.targetsTopic.Due(at, n.targetsPriority(at, 0)) {
		t.Errorf("fetch in flight %v, reads the store as well", n.fetchInFlight)
	}
	n.handleStateFetched(stateFetched{err: errRefused}, at)
	if !n.targetsTopic.Due(at, n.targetsPriority(at, 0)) {
		t.Error("the store is not read after the fetch failed")
	}
	n.targetsTopic.PeersFailed = false
	if late := at.Add(fetchLimit(0)); !n.targetsTopic.Due(late, n.targetsPriority(late, 0)) {
		t.Error("the store is not read after the time of a fetch")
	}
}

// Guards against members of a zone that list a restored store themselves, because their leader tells them only with its next
// heartbeat: nothing but the era changed.
func TestLeaderRelaysNewEraAtOnce(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	n.isLeader = true
	n.members.add(newMember("a2", "a"), testStart)
	n.members.add(newMember("b1", "b"), testStart)
	sent := func() (datagrams int64) {
		n.traffic.EachDatagramKind(func(_ DatagramKind, flow, _ Flow) { datagrams += flow.Datagrams })
		return datagrams
	}
	tell := func(era int64) int64 {
		before := sent()
		at := testStart.Add(time.Second)
		n.members.peers["a2"].lastHeard = at
		update := &targetsUpdate{Base: 0, BaseEra: 1, Next: 5, NextEra: era, RestoredEra: era, Answer: storeread.AnswerID{Reader: 1, Number: uint32(era)}}
		n.applyUpdate(t.Context(), &datagram{Targets: update}, n.members.remotePeers["b"][0], at, at)
		return sent() - before
	}
	if tell(2) == 0 || n.targetsTopic.Next.Era != 2 {
		t.Errorf("era %d, not relayed", n.targetsTopic.Next.Era)
	}
	if tell(2) != 0 {
		t.Error("an era that is known is relayed again")
	}
}

// Guards against an instance that lists a restored store after a pause and uses the targets that left meanwhile: it asks the others.
func TestListingOfNewEraAsksForDepartures(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	n.members.add(newMember("a2", "a"), testStart)
	greetings := func() int64 {
		sent := int64(0)
		n.traffic.EachDatagramKind(func(kind DatagramKind, flow, _ Flow) {
			if kind.String() == "greeting" {
				sent += flow.Datagrams
			}
		})
		return sent
	}
	before := greetings()
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Era: 2, Offset: 3}}, testStart)
	if greetings() == before {
		t.Error("no instance was asked")
	}
}
