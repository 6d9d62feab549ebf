package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// largeZoneSeenBy returns the table of one member of a zone, which knows all members and heard from some.
func largeZoneSeenBy(self int, size int, heard func(i int) bool) *members {
	memberAt := func(i int) discovery.Member {
		return discovery.Member{
			ID: fmt.Sprintf("a%04d", i), Zone: "a", Started: 1, Address: fmt.Sprintf("127.1.%d.%d:7000", i/250, 1+i%250),
		}
	}
	m := newMembers(memberAt(self))
	for i := range size {
		if i != self && m.add(memberAt(i), testStart) && heard(i) {
			m.peers[memberAt(i).ID].lastHeard = testStart
		}
	}
	return m
}

func noneHeard(int) bool { return false }
func allHeard(int) bool  { return true }

// Guards against heartbeats from all members to all, which grow with the square of the zone: 80 instances sent 5,300
// per second.
func TestHeartbeatsGoToStandbys(t *testing.T) {
	for _, size := range []int{5, 20, 80, 800} {
		m := largeZoneSeenBy(size-1, size, noneHeard)
		if got, want := len(m.heartbeatReceivers(testStart)), min(size-1, maxStandbys); got != want {
			t.Errorf("%d members: heartbeats go to %d, want %d", size, got, want)
		}
	}
	m := largeZoneSeenBy(79, 80, noneHeard)
	m.reportedStandbys, m.standbysReportedAt = []string{"a0001", "a0004"}, testStart
	m.peers["a0009"].lastHeard = testStart
	m.recordLeaderClaim(m.peers["a0009"], testStart)
	var ids []string
	for _, p := range m.heartbeatReceivers(testStart) {
		ids = append(ids, p.ID)
	}
	if fmt.Sprint(ids) != "[a0001 a0004 a0009]" {
		t.Errorf("receivers %v, want the reported standbys and the leader", ids)
	}
}

// Guards against a zone without a leader after its leader and all standbys died, and against all others taking over at
// once.
func TestSuccessionBeyondStandbys(t *testing.T) {
	now := testStart.Add(time.Minute)
	first, second := 0, 0
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 10 * time.Millisecond {
		at := now.Add(elapsed)
		for i, counter := range map[int]*int{maxStandbys + 2: &first, maxStandbys + 6: &second} {
			m := largeZoneSeenBy(i, 80, noneHeard)
			m.recordLeaderClaim(m.peers["a0000"], now)
			if *counter == 0 && m.shouldLead(at, testStart, testStart) {
				*counter = int(elapsed / time.Millisecond)
			}
		}
	}
	if first == 0 || first > 1000 {
		t.Errorf("the first member after the standbys takes over after %d ms", first)
	}
	if second-first < 3*int(successionStep/time.Millisecond) {
		t.Errorf("a later member takes over after %d ms, the first one after %d ms", second, first)
	}
}

// Guards against weak members of a large zone that read the store themselves before a strong one did. After a restart
// of 472 instances the announced leaders started last, and all 85 members of a zone took themselves for its leader.
func TestStrongMembersLeadFirstAfterRestart(t *testing.T) {
	leadsFrom := func(capacity int) time.Time {
		m := newMembers(discovery.Member{ID: "a0007", Zone: "a", Address: "127.1.0.7:7000", Capacity: capacity})
		m.add(discovery.Member{ID: "a0001", Zone: "a", Address: "127.1.0.1:7000", Capacity: 800}, testStart)
		m.reportedZoneSize = 80
		return m.earliestLeadership(testStart)
	}
	// fleetStartTime is how much later than the weak members the strong one may start.
	const fleetStartTime = 200 * time.Millisecond
	if strong, weak := leadsFrom(800), leadsFrom(160); weak.Sub(strong) < fleetStartTime {
		t.Errorf("a weak member may lead %s after a strong one", weak.Sub(strong))
	}
}

// Guards against a partitioned member of a large zone that waits for the succession of all others: the last of 80 took
// 4.9 s, while departures must be applied within 2 s.
func TestPartitionedLastMemberLeadsInTime(t *testing.T) {
	const size, bound = 80, 1500 * time.Millisecond
	m := largeZoneSeenBy(size-1, size, noneHeard)
	leader := m.peers["a0000"]
	leader.lastHeard, leader.leaderClaimAt = testStart, testStart
	started := testStart.Add(-time.Minute)
	if m.shouldLead(testStart.Add(leaderTimeout), started, started) {
		t.Error("the last member takes over at once")
	}
	if !m.shouldLead(testStart.Add(bound), started, started) {
		t.Errorf("the last member does not lead after %s of silence", bound)
	}
}

// Guards against a paused leader that goes on leading although another instance took over meanwhile.
func TestPausedLeaderListensFirst(t *testing.T) {
	m := largeZoneSeenBy(0, 3, allHeard)
	resumed := testStart.Add(time.Minute)
	if m.shouldLead(resumed.Add(resumeListenTime-time.Millisecond), testStart, resumed) {
		t.Error("a leader leads at once after a pause of its process")
	}
	if !m.shouldLead(resumed.Add(resumeListenTime), testStart, resumed) {
		t.Error("a leader does not lead again after a pause although no other member does")
	}
	n := newQuietNode(t, newMember("a1", "a"))
	suspended := time.Duration(0)
	n.DetectSuspension = func() (time.Duration, time.Duration) { return time.Second, suspended }
	n.isLeader, n.lastTick = true, testStart
	n.detectPause(testStart.Add(pauseThreshold - time.Millisecond))
	if !n.resumedAt.IsZero() {
		t.Error("a late tick counts as a pause")
	}
	resumedAt := n.lastTick.Add(pauseThreshold)
	n.detectPause(resumedAt)
	n.updateLeadership(resumedAt)
	if n.isLeader {
		t.Error("a paused leader goes on leading")
	}
	// The monotonic clock of a suspended host stops.
	other := newMember("a2", "a")
	n.members.add(other, resumedAt)
	n.members.peers["a2"].lastHeard, n.targetsTopic.AsOf, n.targetsTopic.Known, n.shardsAssignedAt = resumedAt, resumedAt, true, resumedAt
	suspended = 4 * time.Second
	n.detectPause(resumedAt.Add(10 * time.Millisecond))
	n.updateStoreAvailability(resumedAt.Add(10 * time.Millisecond))
	if n.members.peers["a2"].isLive(resumedAt) || !n.storeDown || resumedAt.Sub(n.shardsAssignedAt) < suspended {
		t.Error("data from before a suspension counts as fresh")
	}
}

// newQuietNode returns a node that runs no control loop.
func newQuietNode(t testing.TB, self discovery.Member) *Node {
	t.Helper()
	n := New(Config{
		Self: self, Store: &storeClient{store: &fakeStore{}}, Prober: idleProber{}, Policy: dispatch.DefaultPolicy(),
		ProbeInterval: 25 * time.Millisecond, TargetHeartbeat: targetHeartbeat, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	n.link = &sockets{node: n, udp: socket}
	return n
}

// Guards against a datagram whose handling iterates over all members and sorts them: with 472 instances this took half
// of all processor time.
func TestDatagramCostDoesNotGrowWithTheFleet(t *testing.T) {
	cost := func(size int) float64 {
		n := newQuietNode(t, newMember("a1", "a"))
		n.members = largeZoneSeenBy(size-1, size, allHeard)
		n.Self = n.members.self
		p := n.members.peers["a0000"]
		d := &datagram{From: p.ID, Started: p.Started, Leader: true, ZoneLive: 3, Loads: []loadReport{{Target: 1, SlowdownPercent: 100}}}
		return testing.AllocsPerRun(100, func() {
			n.handleDatagram(context.Background(), datagramReceived{datagram: d, from: p.Address}, testStart)
		})
	}
	if small, large := cost(10), cost(1000); large > small {
		t.Errorf("%v allocations with 10 members, %v with 1,000", small, large)
	}
}

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

// Guards against targets of a zone that is taken back and turn cold, and of which nobody knows for a long probe interval while they
// get the requests of their service.
func TestProbesBeginAtEndOfEvacuation(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	pool := dispatch.NewPool(dispatch.DefaultPolicy(), "a", n.Now, n.Random)
	pool.SetTargets([]registry.Target{{Entry: registry.Entry{ID: "t", Address: "x", Zone: "a", Service: "s", Slots: 4}}}, 1, testStart)
	listInEra(n, 1)
	n.handleConfigsRead(evacuates("a", true, 5), testStart)
	n.handleConfigsRead(evacuates("b", true, 6), testStart)
	n.pools["s"], n.probeStates["s"], n.shard = pool, &probeState{}, shard{0, 1}
	n.handleConfigsRead(evacuates("b", false, 7), testStart)
	if got := n.serviceProbeInterval("s"); got != maxProbeInterval {
		t.Errorf("evacuated: interval %s, want %s", got, maxProbeInterval)
	}
	n.handleConfigsRead(evacuates("a", false, 8), testStart)
	if got := n.serviceProbeInterval("s"); got != n.ProbeInterval {
		t.Errorf("taken back: interval %s, want %s", got, n.ProbeInterval)
	}
}

// Guards against probes that cost the same with and without requests, and against rare probes in a burst.
func TestProbeIntervalFollowsRequests(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	pool := dispatch.NewPool(dispatch.DefaultPolicy(), "a", n.Now, n.Random)
	request := &dispatch.Request{Route: "r", Objective: time.Second, Deadline: 2 * time.Second}
	pool.SetTargets([]registry.Target{{Entry: registry.Entry{ID: "t", Address: "x", Zone: "a", Service: "s", Slots: 4}}}, 1, testStart)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pool.Acquire(ctx, request)
	n.pools["s"], n.probeStates["s"], n.shard = pool, &probeState{}, shard{0, 1}
	if got := n.serviceProbeInterval("s"); got != maxProbeInterval {
		t.Errorf("idle: interval %s, want %s", got, maxProbeInterval)
	}
	n.updateInFlight([]probeResult{{service: "s", report: dispatch.LoadReport{Running: 4, Slots: 4}}}, testStart)
	if got := n.serviceProbeInterval("s"); got != n.ProbeInterval {
		t.Errorf("busy: interval %s, want %s", got, n.ProbeInterval)
	}
	n.updateInFlight([]probeResult{{service: "s", report: dispatch.LoadReport{Slots: 4}}}, testStart.Add(50*time.Millisecond))
	if got := n.serviceProbeInterval("s"); got >= maxProbeInterval {
		t.Errorf("between two requests: interval %s, want less than %s", got, maxProbeInterval)
	}
	n.updateInFlight([]probeResult{{service: "s", report: dispatch.LoadReport{Slots: 4}}}, testStart.Add(20*time.Second))
	if got := n.serviceProbeInterval("s"); got != maxProbeInterval {
		t.Errorf("long after: interval %s, want %s", got, maxProbeInterval)
	}
}

// Guards against load reports that are lost or changed by the encoding.
func TestLoadReportsSurviveEncoding(t *testing.T) {
	reports := []loadReport{{Target: 1 << 31, Running: 3, Waiting: 65535, SlowdownPercent: 400, AgeMS: 12}, {Target: 7, SlowdownPercent: 0}}
	b, err := encode(&datagram{From: "a", Loads: reports})
	if err != nil {
		t.Fatal(err)
	}
	d, err := decode(b)
	if err != nil || fmt.Sprint(d.Loads) != fmt.Sprint(reports) {
		t.Errorf("decoded datagram %+v, error %v; want load reports %+v", d, err, reports)
	}
	if got := unpackLoads(append(packLoads(reports), 1, 2, 3)); len(got) != len(reports) {
		t.Errorf("an incomplete load report is not ignored: %+v", got)
	}
}

// startLargeFleet runs nodes on separate addresses with the same port, as on the platform, in zones of equal size. The
// first largeFleetSeeds nodes are the seeds.
func startLargeFleet(t *testing.T, count, zones int) *testFleet {
	t.Helper()
	f, start := prepareLargeFleet(t, zones)
	for i := range count {
		start(i)
	}
	return f
}

// largeFleetSeeds is the number of seeds of a large fleet.
const largeFleetSeeds = 3

// prepareLargeFleet prepares a large fleet and returns a function that starts one of its nodes.
func prepareLargeFleet(t *testing.T, zones int) (*testFleet, func(i int)) {
	t.Helper()
	f := &testFleet{store: &fakeStore{}, capacity: testCapacity}
	f.store.configs = []*routes.Config{{Version: 1, Services: []routes.Service{{Name: "s"}}}}
	for i := range 2 * zones {
		id := fmt.Sprint("t", i)
		f.store.record(id, &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: fmt.Sprint("z", i%zones), Service: "s", Slots: 4})
	}
	host := func(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }
	listener, err := net.Listen("tcp", host(0)+":0")
	if err != nil {
		t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	_ = listener.Close()
	var seeds []string
	for i := range largeFleetSeeds {
		seeds = append(seeds, host(i))
	}
	return f, func(i int) {
		f.startNodeAt(t, fmt.Sprintf("n%03d", i), fmt.Sprint("z", i%zones), fmt.Sprintf("%s:%d", host(i), port), seeds)
	}
}

// Guards against calls to the store by each instance when the whole fleet starts or restarts: 472 instances made 2,827
// calls, which cost more than the calls of a whole day.
func TestFewStoreCallsAtFullStart(t *testing.T) {
	const zones, count = 2, 40
	f := startLargeFleet(t, count, zones)
	f.checkStoreCalls(t, count, zones)
}

// Guards against a call by each instance on the first start of the whole system, when no instance is announced and the
// seeds start later than the others: 472 instances made 552 calls in 14 s, which cost as much as the calls of half a
// day.
func TestFewCallStoreWhenSeedsStartLast(t *testing.T) {
	const zones, count, late = 2, 70, 60 * time.Millisecond
	f, start := prepareLargeFleet(t, zones)
	// The nodes share the cores of the machine, and wait as long as instances with that small a part of a core.
	f.bootstrap, f.capacity = true, minCapacity
	for i := largeFleetSeeds; i < count; i++ {
		start(i)
	}
	time.Sleep(late)
	for i := range largeFleetSeeds {
		start(i)
	}
	f.checkStoreCalls(t, count, zones)
}

// checkStoreCalls waits until all instances serve and are known, and checks how many calls to the store this took.
func (f *testFleet) checkStoreCalls(t *testing.T, count, zones int) {
	t.Helper()
	f.waitFor(t, "all instances serve", func(n *Node) bool { return n.Ready() })
	f.waitFor(t, "all instances are known", func(n *Node) bool { return n.View().Instances == count })
	calls := f.store.callCount()
	// In each zone, up to largeZoneSize members may read both topics before they count the zone as large, and the
	// leader announces itself in three calls. The rest are the regular reads since the start.
	if limit := 2 + zones*(2*largeZoneSize+3) + int(time.Since(f.startedAt)/storeread.TargetsInterval) + int(time.Since(f.startedAt)/storeread.ConfigsInterval); calls > limit {
		t.Errorf("%d instances made %d calls to the store, want at most %d", count, calls, limit)
	}
}

// Guards against calls by each instance of the fleet to a store that is down, which are billed like others. In one run
// of a scaled-down fleet they cost more than half of the value of its work.
func TestFewCallAStoreThatIsAway(t *testing.T) {
	const count, outage = 30, 4 * time.Second
	f := startLargeFleet(t, count, 3)
	f.waitFor(t, "all instances are known", func(n *Node) bool { return n.Ready() && n.View().Instances == count })
	for _, c := range f.storeClients {
		c.setDown(true)
	}
	before := f.store.callCount()
	time.Sleep(outage)
	// The ranks join one by one, each 300 ms later per failing instance, and each repeats a failed read with growing
	// backoff.
	if calls, limit := f.store.callCount()-before, 60; calls > limit {
		for _, n := range f.nodes {
			n.Traffic().EachCall(func(call StoreCall, count int64) { t.Logf("%s: %s %d", n.Self.ID, call, count) })
		}
		t.Errorf("%d instances made %d calls in %s, want at most %d", count, calls, outage, limit)
	}
	for _, c := range f.storeClients {
		c.setDown(false)
	}
	f.store.publish(2)
	began := time.Now()
	f.waitFor(t, "the next configuration", func(n *Node) bool { return servedVersion(n) == 2 })
	if elapsed := time.Since(began); elapsed > 2500*time.Millisecond {
		t.Errorf("the configuration was in force %s after the outage, want at most 2.5s", elapsed)
	}
}

// Guards against a restart of a small fleet in which each instance waits for others that are starting as well, and
// against one of a large fleet in which all instances read at once. The announced members show the size of the fleet.
func TestRestartDelayDependsOnFleetSize(t *testing.T) {
	leader := func(id, zone string, fleet int) discovery.Member {
		m := newMember(id, zone)
		m.Fleet = fleet
		return m
	}
	cases := []struct {
		name      string
		self      discovery.Member
		announced []discovery.Member
		waits     bool
	}{
		{"nothing is announced", newMember("a5", "a"), nil, true},
		{"small fleet", newMember("a5", "a"), []discovery.Member{leader("a1", "a", 14), leader("b1", "b", 14)}, false},
		{"large fleet", newMember("a5", "a"), []discovery.Member{leader("a1", "a", 400), leader("b1", "b", 400)}, true},
		{"large fleet, announced leader", newMember("a1", "a"), []discovery.Member{leader("a1", "a", 400), leader("b1", "b", 400)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newQuietNode(t, c.self)
			n.started, n.Seeds = testStart, []string{"127.0.0.1"}
			n.handleMembersRead(membersRead{members: c.announced}, testStart)
			if waits := !n.members.shouldLead(testStart.Add(time.Millisecond), testStart, time.Time{}); waits != c.waits {
				t.Errorf("waits %v, want %v", waits, c.waits)
			}
		})
	}
}

// Guards against an announced number of instances that is far off, and against an announcement for each small change.
func TestLeaderAnnouncesFleetSize(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.instances = 10
	if !n.announcementOutdated() {
		t.Error("an unknown announcement counts as up to date")
	}
	store := &fakeStore{}
	n.Store = &storeClient{store: store}
	self := n.Self
	self.Fleet = 10
	n.handleMembersRead(n.announce(context.Background(), self, nil), testStart)
	n.instances = 10
	if len(store.members) != 1 || store.members[0].Fleet != 10 || n.announcementOutdated() {
		t.Errorf("announced members %+v, want one with 10 instances", store.members)
	}
	n.instances = 18
	if n.announcementOutdated() {
		t.Error("a small change is announced")
	}
	n.instances = 21
	if !n.announcementOutdated() {
		t.Error("twice as many instances are not announced")
	}
}

// nodeWithTargets returns a node that knows a number of targets, without a network, and a load report of each of them.
func nodeWithTargets(targets int) (*Node, []loadReport) {
	n := New(Config{
		Self: newMember("a0", "a"), Store: &storeClient{store: &fakeStore{}}, Prober: idleProber{}, Policy: dispatch.DefaultPolicy(),
		Now: func() time.Duration { return time.Second }, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "test", testStart)
	var changes []registry.Change
	var reports []loadReport
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		changes = append(changes, registry.Change{ID: id, Offset: int64(i + 1), Entry: &registry.Entry{
			ID: id, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Service: "s", Slots: 4,
		}})
		reports = append(reports, loadReport{Target: hashID(id), Running: 1, SlowdownPercent: 100})
	}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: changes, complete: true, next: topic.Position{Offset: int64(targets) + 1}}, testStart)
	return n, reports
}

// Guards against load reports whose cost grows with the state that an instance keeps of each target: with 472
// instances, where every instance receives some thousand load reports per second, a third of all processor time was
// spent on finding their targets.
func TestLoadReportsAreAppliedWithoutAllocations(t *testing.T) {
	n, reports := nodeWithTargets(150)
	n.observeLoads(reports)
	if allocations := testing.AllocsPerRun(20, func() { n.observeLoads(reports) }); allocations > 2 {
		t.Errorf("a datagram with %d load reports costs %.0f allocations, want at most 2", len(reports), allocations)
	}
}

// Guards against sorting and indexing the targets again whenever an instance is added or lost: while a large fleet
// starts, each instance counts the others several times a second.
func TestInstanceCountDoesNotRebuildTargets(t *testing.T) {
	n, _ := nodeWithTargets(150)
	now := testStart.Add(time.Minute)
	count := func() {
		now = now.Add(instanceCountInterval)
		n.instances++
		n.updateInstanceCount(now)
	}
	if allocations := testing.AllocsPerRun(20, count); allocations > 20 {
		t.Errorf("a new number of instances costs %.0f allocations, want at most 20", allocations)
	}
	if n.View().Instances != n.instances {
		t.Errorf("the view counts %d instances, not %d", n.View().Instances, n.instances)
	}
}
