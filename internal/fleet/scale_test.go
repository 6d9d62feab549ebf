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
)

// largeTable returns the members of a zone of a size as one of them sees them: it heard those that talk to it.
func largeTable(self int, size int, heard func(i int) bool) *members {
	named := func(i int) discovery.Member {
		return discovery.Member{
			ID: fmt.Sprintf("a%04d", i), Zone: "a", Started: 1, Address: fmt.Sprintf("127.1.%d.%d:7000", i/250, 1+i%250),
		}
	}
	m := newMembers(named(self))
	for i := range size {
		if i != self && m.learn(named(i), begin) && heard(i) {
			m.peers[named(i).ID].heard = begin
		}
	}
	return m
}

func nobody(int) bool    { return false }
func everybody(int) bool { return true }

// Guards against heartbeats of all to all, which grow with the square of the zone: 80 instances sent 5,300 a second.
func TestHeartbeatsGoToTheCouncil(t *testing.T) {
	for _, size := range []int{5, 20, 80, 800} {
		m := largeTable(size-1, size, nobody)
		if got, want := len(m.council(begin)), min(size-1, councilSize); got != want {
			t.Errorf("%d members: heartbeats go to %d, want %d", size, got, want)
		}
	}
	m := largeTable(79, 80, nobody)
	m.told, m.toldAt = []string{"a0001", "a0004"}, begin
	m.peers["a0009"].heard = begin
	m.noteReader(m.peers["a0009"], begin)
	var ids []string
	for _, p := range m.council(begin) {
		ids = append(ids, p.ID)
	}
	if fmt.Sprint(ids) != "[a0001 a0004 a0009]" {
		t.Errorf("told council and reader: %v", ids)
	}
}

// Guards against a zone without a reader after its whole council died, and against all others taking over at once.
func TestSuccessionBeyondTheCouncil(t *testing.T) {
	now := begin.Add(time.Minute)
	first, second := 0, 0
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 10 * time.Millisecond {
		at := now.Add(elapsed)
		for i, counter := range map[int]*int{councilSize + 2: &first, councilSize + 6: &second} {
			m := largeTable(i, 80, nobody)
			m.noteReader(m.peers["a0000"], now)
			if *counter == 0 && m.readsZone(at, begin, begin) {
				*counter = int(elapsed / time.Millisecond)
			}
		}
	}
	if first == 0 || first > 1000 {
		t.Errorf("the first member after the council takes over after %d ms", first)
	}
	if second-first < 3*int(successionStep/time.Millisecond) {
		t.Errorf("a later member takes over after %d ms, the first one after %d ms", second, first)
	}
}

// Guards against weak members of a large zone that read the store for themselves before a strong one has: after a restart of 472
// instances the announced readers started last, and all 85 members of a zone took themselves for its reader. The pattern is a
// restart of all in any order.
func TestStrongMembersClaimFirstAfterARestart(t *testing.T) {
	claims := func(capacity int) time.Time {
		m := newMembers(discovery.Member{ID: "a0007", Zone: "a", Address: "127.1.0.7:7000", Capacity: capacity})
		m.learn(discovery.Member{ID: "a0001", Zone: "a", Address: "127.1.0.1:7000", Capacity: 800}, begin)
		m.toldSize = 80
		return m.mayClaim(begin)
	}
	const startOfAll = 200 * time.Millisecond
	if strong, weak := claims(800), claims(160); weak.Sub(strong) < startOfAll {
		t.Errorf("a weak member claims %s after a strong one", weak.Sub(strong))
	}
}

// Guards against a member of a large zone that is cut off from the others and waits for the turn of each of them: the last of
// 80 took 4.9 s, while departures bind within 2 s. The pattern is a cut through a large zone.
func TestLastMemberThatIsCutOffReadsInTime(t *testing.T) {
	const size, bound = 80, 1500 * time.Millisecond
	m := largeTable(size-1, size, nobody)
	reader := m.peers["a0000"]
	reader.heard, reader.readerAt = begin, begin
	started := begin.Add(-time.Minute)
	if m.readsZone(begin.Add(readerSilence), started, started) {
		t.Error("the last member takes over at once")
	}
	if !m.readsZone(begin.Add(bound), started, started) {
		t.Errorf("the last member does not read after %s of silence", bound)
	}
}

// Guards against an instance that was paused and reads its zone, although another one took over meanwhile.
func TestPausedReaderListensFirst(t *testing.T) {
	m := largeTable(0, 3, everybody)
	resumed := begin.Add(time.Minute)
	if m.readsZone(resumed.Add(resumeSilence-time.Millisecond), begin, resumed) {
		t.Error("it reads at once")
	}
	if !m.readsZone(resumed.Add(resumeSilence), begin, resumed) {
		t.Error("it does not read although nobody else does")
	}
	n := quietNode(t, member("a1", "a"))
	suspended := time.Duration(0)
	n.DetectSuspension = func() (time.Duration, time.Duration) { return time.Second, suspended }
	n.reader, n.stepped = true, begin
	n.notePause(begin.Add(pauseLimit - time.Millisecond))
	if !n.resumed.IsZero() {
		t.Error("a late step counts as a pause")
	}
	woke := n.stepped.Add(pauseLimit)
	n.notePause(woke)
	n.noteReader(woke)
	if n.reader {
		t.Error("a paused reader reads on")
	}
	// A suspended machine's monotonic clock stands still.
	other := member("a2", "a")
	n.members.learn(other, woke)
	n.members.peers["a2"].heard, n.targets.asOf, n.targets.known, n.partsAt = woke, woke, true, woke
	suspended = 4 * time.Second
	n.notePause(woke.Add(10 * time.Millisecond))
	n.noteAvailability(woke.Add(10 * time.Millisecond))
	if n.members.peers["a2"].isLive(woke) || !n.storeDown || woke.Sub(n.partsAt) < suspended {
		t.Error("what was known before a suspension counts as fresh")
	}
}

// quietNode returns a node that runs no control loop.
func quietNode(t testing.TB, self discovery.Member) *Node {
	t.Helper()
	n := New(Config{
		Self: self, Store: &door{store: &fakeStore{}}, Prober: noProber{}, Policy: dispatch.DefaultPolicy(),
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

// Guards against a datagram whose handling walks and sorts all members: with 472 instances half of all processor time went
// there.
func TestDatagramCostDoesNotGrowWithTheFleet(t *testing.T) {
	cost := func(size int) float64 {
		n := quietNode(t, member("a1", "a"))
		n.members = largeTable(size-1, size, everybody)
		n.Self = n.members.self
		p := n.members.peers["a0000"]
		d := &datagram{From: p.ID, Started: p.Started, Reader: true, Live: 3, Loads: []loadNote{{Target: 1, PacePercent: 100}}}
		return testing.AllocsPerRun(100, func() {
			n.handleDatagram(context.Background(), received{datagram: d, from: p.Address}, begin)
		})
	}
	if small, large := cost(10), cost(1000); large > small {
		t.Errorf("%v allocations with 10 members, %v with 1,000", small, large)
	}
}

// Guards against a target that left while an instance missed it, and that this instance uses for good: the peer that it
// asks listed the targets later and never heard of the one that left.
func TestStateOfAPeerRemovesTargets(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	entry := func(id string) *registry.Entry {
		return &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	}
	n.registry.Apply(registry.Change{ID: "left", Offset: 3, Entry: entry("left")}, begin)
	n.registry.Apply(registry.Change{ID: "stays", Offset: 4, Entry: entry("stays")}, begin)
	n.targets.known, n.targets.next = true, 5
	n.handleState(stateFetched{state: &State{
		TargetsListed: true, TargetsNext: 9, Targets: []registry.Change{{ID: "stays", Offset: 8, Entry: entry("stays")}},
	}}, begin)
	usable := n.registry.Usable()
	if len(usable) != 1 || usable[0].ID != "stays" {
		t.Errorf("usable targets: %+v", usable)
	}
}

// Guards against a new configuration that comes with all targets: on trouble-1 of the large site the readers of zones sent all
// 900 targets to each of 80 members that only lacked the configuration, and some got it too late (CONFIG, seed 253820936). The
// pattern is a change of the configuration in a large zone.
func TestStateLeavesOutWhatThePeerKnows(t *testing.T) {
	const targets = 150
	peer, _ := largeNode(targets)
	n, _ := largeNode(targets)
	request := StateRequest{HaveConfig: true, HaveVersion: 1, TargetsNext: n.targets.next}
	if state := peer.state(request, begin); len(state.Targets) != 0 || state.Config != nil {
		t.Errorf("%d targets and configuration %v for a peer that knows them", len(state.Targets), state.Config)
	}
	// The peer lists the targets: t0 has left, t1 drains, and the others are as they were.
	var listing []registry.Change
	known, _ := peer.registry.Changes(0, begin)
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
	peer.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: targets + 10}, begin)
	state := peer.state(request, begin)
	if len(state.Targets) != 2 {
		t.Errorf("%d targets instead of the two that changed", len(state.Targets))
	}
	n.handleState(stateFetched{state: &state}, begin)
	if got := len(n.registry.Usable()); got != targets-2 || n.targets.next != targets+10 {
		t.Errorf("%d usable targets, known up to %d", got, n.targets.next)
	}
	if full := peer.state(StateRequest{}, begin); len(full.Targets) < targets-1 {
		t.Errorf("an instance that knows nothing is told %d targets", len(full.Targets))
	}
}

// Guards against readings that cost the same with and without requests, and against rare ones in a burst.
func TestReadingsFollowRequests(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	pool := dispatch.NewPool(dispatch.DefaultPolicy(), "a", n.Now, n.Random)
	ask := &dispatch.Request{Route: "r", Objective: time.Second, Deadline: 2 * time.Second}
	pool.SetTargets([]registry.Target{{Entry: registry.Entry{ID: "t", Address: "x", Zone: "a", Service: "s", Slots: 4}}}, 1, begin)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pool.Acquire(ctx, ask)
	n.pools["s"], n.rounds["s"], n.share = pool, &serviceRound{}, share{0, 1}
	if got := n.readingInterval("s"); got != slowestReading {
		t.Errorf("idle: %s", got)
	}
	n.noteOccupancy([]sample{{service: "s", reading: dispatch.LoadReport{Running: 4, Slots: 4}}}, begin)
	if got := n.readingInterval("s"); got != n.ProbeInterval {
		t.Errorf("busy: %s", got)
	}
	n.noteOccupancy([]sample{{service: "s", reading: dispatch.LoadReport{Slots: 4}}}, begin.Add(50*time.Millisecond))
	if got := n.readingInterval("s"); got >= slowestReading {
		t.Errorf("between two requests: %s", got)
	}
	n.noteOccupancy([]sample{{service: "s", reading: dispatch.LoadReport{Slots: 4}}}, begin.Add(20*time.Second))
	if got := n.readingInterval("s"); got != slowestReading {
		t.Errorf("long after: %s", got)
	}
}

// Guards against readings that are lost or changed on the way, also from instances of the version before.
func TestReadingsAreKeptInDatagrams(t *testing.T) {
	notes := []loadNote{{Target: 1 << 31, Running: 3, Waiting: 65535, PacePercent: 400, AgeMS: 12}, {Target: 7, PacePercent: 0}}
	b, err := encode(&datagram{From: "a", Loads: notes})
	if err != nil {
		t.Fatal(err)
	}
	d, err := decode(b)
	if err != nil || fmt.Sprint(d.Loads) != fmt.Sprint(notes) {
		t.Errorf("%+v, %v", d, err)
	}
	if got := unpackLoads(append(packLoads(notes), 1, 2, 3)); len(got) != len(notes) {
		t.Errorf("an incomplete reading counts: %+v", got)
	}
}

// startLarge runs nodes on addresses of their own with one port, as on the platform, in zones of the same size. The first
// three are the seeds.
func startLarge(t *testing.T, count, zones int) *testFleet {
	t.Helper()
	f, start := prepareLarge(t, zones)
	for i := range count {
		start(i)
	}
	return f
}

// largeSeeds is the number of seeds of a large fleet.
const largeSeeds = 3

// prepareLarge prepares a large fleet and returns what starts one of its nodes.
func prepareLarge(t *testing.T, zones int) (*testFleet, func(i int)) {
	t.Helper()
	f := &testFleet{store: &fakeStore{}, capacity: usualCapacity}
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
	for i := range largeSeeds {
		seeds = append(seeds, host(i))
	}
	return f, func(i int) {
		f.startAt(t, fmt.Sprintf("n%03d", i), fmt.Sprint("z", i%zones), fmt.Sprintf("%s:%d", host(i), port), seeds)
	}
}

// Guards against calls to the store by each instance at a start of all: 472 instances made 2,827 calls, which cost more than
// the calls of a whole day. The pattern is a start or a restart of the whole fleet.
func TestFewCallStoreAtAStartOfAll(t *testing.T) {
	const zones, count = 2, 40
	f := startLarge(t, count, zones)
	f.awaitFewCalls(t, count, zones)
}

// Guards against a call by each instance at the first start of the whole system, when the seeds start later than the others:
// 472 instances made 552 calls in 14 s, which cost as much as those of half a day. Nobody is announced at that time.
func TestFewCallStoreWhenSeedsStartLast(t *testing.T) {
	const zones, count, late = 2, 70, 60 * time.Millisecond
	f, start := prepareLarge(t, zones)
	// The nodes share the cores of the machine, and wait as long as instances with so small a part of one.
	f.bootstrap, f.capacity = true, leastCapacity
	for i := largeSeeds; i < count; i++ {
		start(i)
	}
	time.Sleep(late)
	for i := range largeSeeds {
		start(i)
	}
	f.awaitFewCalls(t, count, zones)
}

// awaitFewCalls waits until all instances serve and are known, and checks how many calls to the store it took.
func (f *testFleet) awaitFewCalls(t *testing.T, count, zones int) {
	t.Helper()
	f.await(t, "all serve", func(n *Node) bool { return n.Ready() })
	f.await(t, "all instances are known", func(n *Node) bool { return n.View().Instances == count })
	calls := f.store.callCount()
	// As many members of a zone as do not yet take it for a large one read both topics, its reader announces itself in three
	// calls, and the rest are the reads since.
	if most := 2 + zones*(2*largeZone+3) + int(time.Since(f.began)/targetsInterval) + int(time.Since(f.began)/configsInterval); calls > most {
		t.Errorf("%d instances made %d calls to the store, want at most %d", count, calls, most)
	}
}

// Guards against calls to a store that is away by each instance of the fleet, which are paid for like others: on the small
// twin of trouble-3 of the large site they cost more than half of the worth. The pattern is an outage of the store.
func TestFewCallAStoreThatIsAway(t *testing.T) {
	const count, outage = 30, 4 * time.Second
	f := startLarge(t, count, 3)
	f.await(t, "all instances are known", func(n *Node) bool { return n.Ready() && n.View().Instances == count })
	for _, d := range f.doors {
		d.set(true)
	}
	before := f.store.callCount()
	time.Sleep(outage)
	// Those in line join one by one, 300 ms later for each that fails; each of them repeats a failed read with growing pauses.
	if calls, most := f.store.callCount()-before, 60; calls > most {
		for _, n := range f.nodes {
			n.Traffic().EachCall(func(call StoreCall, count int64) { t.Logf("%s: %s %d", n.Self.ID, call, count) })
		}
		t.Errorf("%d instances made %d calls in %s, want at most %d", count, calls, outage, most)
	}
	for _, d := range f.doors {
		d.set(false)
	}
	f.store.publish(2)
	began := time.Now()
	f.await(t, "the next configuration", func(n *Node) bool { return version(n) == 2 })
	if elapsed := time.Since(began); elapsed > 2500*time.Millisecond {
		t.Errorf("it was in force %s after the outage", elapsed)
	}
}

// Guards against a restart of a whole small fleet in which each instance waits for others that start as well, and against
// one of a large fleet in which all of them read at once. The announced members tell which it is.
func TestRestartFollowsTheSizeOfTheFleet(t *testing.T) {
	reader := func(id, zone string, fleet int) discovery.Member {
		m := member(id, zone)
		m.Fleet = fleet
		return m
	}
	cases := []struct {
		name      string
		self      discovery.Member
		announced []discovery.Member
		waits     bool
	}{
		{"nothing is announced", member("a5", "a"), nil, true},
		{"small fleet", member("a5", "a"), []discovery.Member{reader("a1", "a", 14), reader("b1", "b", 14)}, false},
		{"large fleet", member("a5", "a"), []discovery.Member{reader("a1", "a", 400), reader("b1", "b", 400)}, true},
		{"large fleet, announced reader", member("a1", "a"), []discovery.Member{reader("a1", "a", 400), reader("b1", "b", 400)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := quietNode(t, c.self)
			n.started, n.Seeds = begin, []string{"127.0.0.1"}
			n.handleMembers(membersRead{members: c.announced}, begin)
			if waits := !n.members.readsZone(begin.Add(time.Millisecond), begin, time.Time{}); waits != c.waits {
				t.Errorf("waits: %v", waits)
			}
		})
	}
}

// Guards against a number of instances in the store that is far off, and against an announcement for each small change.
func TestReaderAnnouncesTheSizeOfTheFleet(t *testing.T) {
	n := quietNode(t, member("a1", "a"))
	n.instances = 10
	if !n.announcementIsOld() {
		t.Error("an unknown announcement counts as good")
	}
	store := &fakeStore{}
	n.Store = &door{store: store}
	self := n.Self
	self.Fleet = 10
	n.handleMembers(n.announce(context.Background(), self, nil), begin)
	n.instances = 10
	if len(store.members) != 1 || store.members[0].Fleet != 10 || n.announcementIsOld() {
		t.Errorf("%+v", store.members)
	}
	n.instances = 18
	if n.announcementIsOld() {
		t.Error("a small change is announced")
	}
	n.instances = 21
	if !n.announcementIsOld() {
		t.Error("twice as many instances are not announced")
	}
}

// largeNode returns a node that knows many targets, without a network, and a reading of each of them.
func largeNode(targets int) (*Node, []loadNote) {
	n := New(Config{
		Self: member("a0", "a"), Store: &door{store: &fakeStore{}}, Prober: noProber{}, Policy: dispatch.DefaultPolicy(),
		Now: func() time.Duration { return time.Second }, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "test", begin)
	var changes []registry.Change
	var notes []loadNote
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		changes = append(changes, registry.Change{ID: id, Offset: int64(i + 1), Entry: &registry.Entry{
			ID: id, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Service: "s", Slots: 4,
		}})
		notes = append(notes, loadNote{Target: hashID(id), Running: 1, PacePercent: 100})
	}
	n.handleTargets(targetsRead{began: begin, changes: changes, listed: true, next: int64(targets) + 1}, begin)
	return n, notes
}

// Guards against readings whose cost grows with what an instance knows of each target: with 472 instances a third of all
// processor time was spent on finding their targets. The pattern is a large fleet in which every instance is told some
// thousand readings a second.
func TestReadingsAreTakenOverWithoutAllocations(t *testing.T) {
	n, notes := largeNode(150)
	n.observe(notes)
	if allocations := testing.AllocsPerRun(20, func() { n.observe(notes) }); allocations > 2 {
		t.Errorf("a datagram with %d readings costs %.0f allocations", len(notes), allocations)
	}
}

// Guards against targets that are sorted and indexed anew whenever an instance is met or lost. The pattern is a start of a
// large fleet, in which each instance counts the others several times a second.
func TestNumberOfInstancesLeavesTargetsAlone(t *testing.T) {
	n, _ := largeNode(150)
	now := begin.Add(time.Minute)
	count := func() {
		now = now.Add(countInterval)
		n.instances++
		n.noteInstances(now)
	}
	if allocations := testing.AllocsPerRun(20, count); allocations > 20 {
		t.Errorf("a new number of instances costs %.0f allocations", allocations)
	}
	if n.View().Instances != n.instances {
		t.Errorf("the view counts %d instances, not %d", n.View().Instances, n.instances)
	}
}
