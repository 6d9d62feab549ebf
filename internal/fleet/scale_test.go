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
