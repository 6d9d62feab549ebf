package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

var errStoreDown = errors.New("the store is down")

// fakeStore holds topics in memory and counts calls. Each node has a client of its own, which can be made to fail.
type fakeStore struct {
	mu      sync.Mutex
	configs []*routes.Config
	targets []registry.Change
	members []discovery.Member
	owners  ownerTopic
	calls   int
}

type storeClient struct {
	store *fakeStore
	mu    sync.Mutex
	down  bool
	// era is the era that the store tells, and learned the one that a peer told.
	era, learned int64
}

func (c *storeClient) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

func (c *storeClient) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	c.store.calls++
	if c.down {
		c.store.mu.Unlock()
		return errStoreDown
	}
	return nil
}

func (c *storeClient) Era() int64         { return c.era }
func (c *storeClient) LearnEra(era int64) { c.learned = era }

func (c *storeClient) NewestConfig(context.Context) (discovery.OperatorRecords, topic.Position, error) {
	if err := c.begin(); err != nil {
		return discovery.OperatorRecords{}, topic.Position{}, err
	}
	defer c.store.mu.Unlock()
	n := len(c.store.configs)
	if n == 0 {
		return discovery.OperatorRecords{Complete: true}, topic.Position{}, nil
	}
	return discovery.OperatorRecords{Configs: c.store.configs[n-1:], Complete: true}, topic.Position{Offset: int64(n)}, nil
}

func (c *storeClient) ConfigsSince(_ context.Context, from topic.Position) (discovery.OperatorRecords, topic.Position, error) {
	if err := c.begin(); err != nil {
		return discovery.OperatorRecords{}, topic.Position{}, err
	}
	defer c.store.mu.Unlock()
	return discovery.OperatorRecords{Configs: c.store.configs[from.Offset:]}, topic.Position{Offset: int64(len(c.store.configs))}, nil
}

func (c *storeClient) NewestTargets(ctx context.Context) ([]registry.Change, topic.Position, error) {
	return c.TargetsSince(ctx, topic.Position{})
}

func (c *storeClient) TargetsSince(_ context.Context, from topic.Position) ([]registry.Change, topic.Position, error) {
	if err := c.begin(); err != nil {
		return nil, topic.Position{}, err
	}
	defer c.store.mu.Unlock()
	return append([]registry.Change(nil), c.store.targets[from.Offset:]...), topic.Position{Offset: int64(len(c.store.targets))}, nil
}

func (c *storeClient) Members(context.Context) ([]discovery.Member, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	defer c.store.mu.Unlock()
	return append([]discovery.Member(nil), c.store.members...), nil
}

func (c *storeClient) Announce(_ context.Context, m discovery.Member) error {
	if err := c.begin(); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	c.store.members = append(c.store.members, m)
	return nil
}

func (c *storeClient) CrashMarks(context.Context) ([]discovery.CrashMark, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	defer c.store.mu.Unlock()
	return nil, nil
}

func (c *storeClient) PutCrashMark(context.Context, discovery.CrashMark) error {
	if err := c.begin(); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	return nil
}

func (c *storeClient) CreditOwner(context.Context) (*credit.OwnerRecord, topic.Position, error) {
	if err := c.begin(); err != nil {
		return nil, topic.Position{}, err
	}
	defer c.store.mu.Unlock()
	record, end := c.store.owners.newest(0)
	return record, end, nil
}

func (c *storeClient) PutCreditOwner(_ context.Context, record credit.OwnerRecord, at topic.Position) (topic.Position, error) {
	if err := c.begin(); err != nil {
		return topic.Position{}, err
	}
	defer c.store.mu.Unlock()
	return c.store.owners.append(0, record, at)
}

func (s *fakeStore) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs = append(s.configs, &routes.Config{Version: version, Services: []routes.Service{{Name: "s"}}})
}

func (s *fakeStore) record(id string, e *registry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, registry.Change{ID: id, Offset: int64(len(s.targets)), Entry: e})
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// idleProber reports idle targets.
type idleProber struct{}

func (idleProber) Open(string, string, string) Probe { return idleProbe{} }

type idleProbe struct{}

func (idleProbe) Read(context.Context) (dispatch.LoadReport, error) {
	return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil
}
func (idleProbe) Close() {}

// testCapacity is the capacity of an instance with 0.3 of a core.
const testCapacity = 300

// targetHeartbeat is the interval at which targets renew their entries in the store.
const targetHeartbeat = 1500 * time.Millisecond

// testFleet runs nodes on the loopback interface.
type testFleet struct {
	store        *fakeStore
	nodes        []*Node
	storeClients []*storeClient
	// startedAt is when the first node was started.
	startedAt time.Time
	// mergeCrashMark, if set, merges the crash marks that a node receives.
	mergeCrashMark func(id, key string) bool
	// bootstrap starts the nodes as on the first start of the system.
	bootstrap bool
	// capacity is the capacity of each node.
	capacity int
	stops    []context.CancelFunc
}

func startFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	f := &testFleet{store: &fakeStore{}, capacity: testCapacity}
	f.startNodes(t, count)
	return f
}

// startNodes starts nodes in two zones, each with a target, and waits until they serve.
func (f *testFleet) startNodes(t *testing.T, count int) {
	t.Helper()
	f.store.publish(1)
	f.store.record("t1", &registry.Entry{ID: "t1", Address: "127.0.0.1:9", Zone: "z0", Service: "s", Slots: 4})
	f.store.record("t2", &registry.Entry{ID: "t2", Address: "127.0.0.1:9", Zone: "z1", Service: "s", Slots: 4})
	for i := range count {
		f.startNode(t, i)
	}
	f.waitFor(t, "all nodes serve", func(n *Node) bool { return n.Ready() })
}

func (f *testFleet) startNode(t *testing.T, i int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	f.startNodeAt(t, fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2), address, nil)
}

func (f *testFleet) startNodeAt(t *testing.T, id, zone, address string, seeds []string) {
	t.Helper()
	start := time.Now()
	if f.startedAt.IsZero() {
		f.startedAt = start
	}
	client := &storeClient{store: f.store}
	n := New(Config{
		CrashMarks: fakeMarks(func(key string) bool { return f.mergeCrashMark != nil && f.mergeCrashMark(id, key) }),
		Self:       discovery.Member{ID: id, Zone: zone, Address: address, Started: start.UnixNano(), Capacity: f.capacity},
		Store:      client, Policy: dispatch.DefaultPolicy(), Prober: idleProber{}, ProbeInterval: 25 * time.Millisecond, TargetHeartbeat: targetHeartbeat, Seeds: seeds, Bootstrap: f.bootstrap,
		Now:    func() time.Duration { return time.Since(start) },
		Random: rand.New(rand.NewPCG(uint64(len(f.nodes)), 1)), Log: slog.New(slog.DiscardHandler),
		CreditBounds: map[credit.Kind]credit.Bounds{credit.WorkspaceQuota: creditBounds},
	})
	if err := n.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	f.nodes, f.storeClients, f.stops = append(f.nodes, n), append(f.storeClients, client), append(f.stops, cancel)
}

// fakeMarks reports whether a crash mark changed anything.
type fakeMarks func(key string) bool

func (f fakeMarks) MergeCrashMark(key string, _ []byte) bool { return f(key) }
func (fakeMarks) CrashDigest() uint64                        { return 0 }
func (fakeMarks) EachCrashMark(func(string, []byte, bool))   {}

// waitFor waits until all nodes fulfill a condition.
func (f *testFleet) waitFor(t *testing.T, what string, condition func(*Node) bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range f.nodes {
		for !condition(n) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not fulfilled on %s", what, n.Self.ID)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func servedVersion(n *Node) uint64 { return n.View().Table.Version }

// Guards against configurations that reach only the instances that read the store.
func TestConfigurationReachesAllInstances(t *testing.T) {
	f := startFleet(t, 4)
	f.store.publish(2)
	f.waitFor(t, "version 2", func(n *Node) bool { return servedVersion(n) == 2 })
}

// Guards against an instance that the store refuses and that therefore misses a configuration.
func TestRefusedInstanceLearnsFromPeers(t *testing.T) {
	f := startFleet(t, 4)
	f.waitFor(t, "members", func(n *Node) bool { return n.View().Instances == 4 })
	for _, i := range []int{0, 3} {
		f.storeClients[i].setDown(true)
	}
	f.store.publish(3)
	f.waitFor(t, "version 3", func(n *Node) bool { return servedVersion(n) == 3 })
}

// Guards against a configuration that replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := startFleet(t, 2)
	f.store.publish(9)
	f.waitFor(t, "version 9", func(n *Node) bool { return servedVersion(n) == 9 })
	f.store.publish(4)
	f.store.publish(10)
	f.waitFor(t, "version 10", func(n *Node) bool {
		if v := servedVersion(n); v < 9 {
			t.Fatalf("%s went back to configuration %d", n.Self.ID, v)
		}
		return servedVersion(n) == 10
	})
}

// Guards against calls to the store that grow with the number of instances: each call is billed.
func TestStoreReadsDoNotGrowWithFleet(t *testing.T) {
	f := startFleet(t, 6)
	f.waitFor(t, "members", func(n *Node) bool { return n.View().Instances == 6 })
	// Leaders announce themselves once more when the number of instances is known, in up to three calls each.
	time.Sleep(convergenceTime + 500*time.Millisecond)
	before := f.store.callCount()
	time.Sleep(2 * time.Second)
	calls := f.store.callCount() - before
	// The topics are read every 500 and 800 ms, which makes 7 calls; a late datagram may cost some more.
	if calls > 11 {
		t.Errorf("6 instances made %d calls in 2 s, want at most 11", calls)
	}
}

// Guards against an instance that cannot start while the store is down, although its peers know everything.
func TestStartWithoutStore(t *testing.T) {
	f := startFleet(t, 2)
	for _, c := range f.storeClients {
		c.setDown(true)
	}
	f.startNode(t, 2)
	f.storeClients[2].setDown(true)
	self := f.nodes[0].Self
	f.nodes[2].enqueue(datagramReceived{datagram: &datagram{From: self.ID, Started: self.Started, Self: &self}, from: self.Address})
	f.waitFor(t, "the new node serves", func(n *Node) bool { return n.Ready() })
}

// Guards against datagrams that crash the control loop.
func FuzzDatagram(f *testing.F) {
	seed, _ := encode(&datagram{From: "n1", Started: 2, Loads: []loadReport{{Target: 1, SlowdownPercent: 100}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decode(b)
		if err != nil {
			return
		}
		n := New(Config{
			Self: newMember("n0", "z0"), Store: &storeClient{store: &fakeStore{}}, Prober: idleProber{},
			Now: func() time.Duration { return time.Second }, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
		})
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = socket.Close() }()
		n.link = &sockets{node: n, udp: socket}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.handle(ctx, datagramReceived{datagram: d, from: "127.0.0.1:9"}, testStart)
	})
}

// Guards against datagrams of a restarted instance that are dropped until it has announced itself: after a restart of
// the whole fleet, load reports would arrive late.
func TestLaterIncarnationIsAcceptedAtOnce(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: newMember("x0", "z0"), Store: f.storeClients[0], Prober: idleProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	announced := newMember("x1", "z0")
	n.members.add(announced, testStart)
	n.handle(context.Background(), datagramReceived{datagram: &datagram{From: "x1", Started: announced.Started + 5, Leader: true}}, testStart)
	if p := n.members.peers["x1"]; !p.isLive(testStart) || p.leaderClaimAt != testStart {
		t.Errorf("peer state %+v, want a live leader", p)
	}
}

// Guards against a leader that the store refuses and that keeps sending to a departed target until its next read. A
// leader that had been partitioned kept sending to one for 12 s.
func TestRefusedLeaderLearnsDepartures(t *testing.T) {
	f := startFleet(t, 4)
	f.waitFor(t, "members", func(n *Node) bool { return n.View().Instances == 4 })
	f.storeClients[0].setDown(true)
	// More changes than a datagram repeats, so that the leader falls behind.
	for i := range 3 * maxRepeatedChanges {
		f.store.record(fmt.Sprintf("u%d", i), &registry.Entry{ID: fmt.Sprintf("u%d", i), Address: "127.0.0.1:9", Zone: "z0", Service: "s", Slots: 4})
	}
	f.store.record("t1", nil)
	began := time.Now()
	gone := make(chan struct{}, 1)
	for time.Since(began) < 5*time.Second {
		answer := stateRequested{reply: make(chan State, 1)}
		f.nodes[0].enqueue(answer)
		state := <-answer.reply
		for _, c := range state.Targets {
			if c.ID == "t1" && c.Entry == nil {
				select {
				case gone <- struct{}{}:
				default:
				}
			}
		}
		if len(gone) > 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if elapsed := time.Since(began); elapsed > 2*time.Second {
		t.Errorf("the departure was known after %s, want at most 2s", elapsed)
	}
}

// Guards against two leaders of a partitioned zone that together probe its targets too often.
func TestMissingFactor(t *testing.T) {
	all := []discovery.Member{newMember("a1", "a"), newMember("a2", "a"), newMember("a3", "a"), newMember("a4", "a")}
	now := testStart.Add(time.Minute)
	m := membersSeenBy("a1", now, all...)
	if got := m.missingFactor(now); got != 1 {
		t.Errorf("all members are live: factor %v, want 1", got)
	}
	later := now.Add(2 * livenessTimeout)
	m.peers["a2"].lastHeard = later
	if got := m.missingFactor(later); got != 2 {
		t.Errorf("half of the zone is silent: factor %v, want 2", got)
	}
	long := later.Add(missingPeriod)
	m.peers["a2"].lastHeard = long
	if got := m.missingFactor(long); got != 1 {
		t.Errorf("after missingPeriod: factor %v, want 1", got)
	}
}

// Guards against a panic when a peer reports an unreachable target of a service that this instance does not know yet.
func TestLoadReportOfUnknownService(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: newMember("x0", "z0"), Store: f.storeClients[0], Prober: idleProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.targetsByHash[7] = targetRef{id: "t7", zone: "z1"}
	n.observeLoads([]loadReport{{Target: 7}, {Target: 7, SlowdownPercent: 100}, {Target: 8}})
}

// Guards against load reports of other zones that pile up without bound in the leader of a zone without targets and
// never reach the other instances of that zone.
func TestZoneWithoutTargetsRelaysLoadReports(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: newMember("x0", "z9"), Store: f.storeClients[0], Prober: idleProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.isLeader = true
	far := newMember("x1", "z0")
	n.members.add(far, testStart)
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		d := &datagram{From: "x1", Started: far.Started, Leader: true, Loads: []loadReport{{Target: 7, SlowdownPercent: 100}}}
		n.handle(context.Background(), datagramReceived{datagram: d}, now)
		n.sendLeaderHeartbeat(now)
	}
	if len(n.pendingForZone) > 3 {
		t.Errorf("%d load reports are pending after 100 datagrams, want at most 3", len(n.pendingForZone))
	}
}

// Guards against instances that start at the same moment and never find each other, because each reads the announced
// members before the other one is announced. Two such instances both led their zone.
func TestInstancesStartedTogetherFindEachOther(t *testing.T) {
	f := &testFleet{store: &fakeStore{}, capacity: testCapacity}
	f.store.publish(1)
	for i := range 6 {
		f.startNode(t, i)
	}
	f.waitFor(t, "all instances", func(n *Node) bool { return n.Ready() && n.View().Instances == 6 })
	time.Sleep(convergenceTime + time.Second)
	f.waitFor(t, "all instances are live", func(n *Node) bool { return n.View().Instances == 6 })
}
