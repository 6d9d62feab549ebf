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

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

var errDown = errors.New("the store is down")

// fakeStore holds topics in memory and counts calls. Each node sees it through a door that can be shut.
type fakeStore struct {
	mu      sync.Mutex
	configs []*routes.Config
	targets []registry.Change
	members []discovery.Member
	calls   int
}

type door struct {
	store *fakeStore
	mu    sync.Mutex
	shut  bool
}

func (d *door) set(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}

func (d *door) enter() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.mu.Lock()
	d.store.calls++
	if d.shut {
		d.store.mu.Unlock()
		return errDown
	}
	return nil
}

func (d *door) NewestConfig(context.Context) (*routes.Config, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.store.mu.Unlock()
	n := len(d.store.configs)
	if n == 0 {
		return nil, 0, nil
	}
	return d.store.configs[n-1], int64(n), nil
}

func (d *door) ConfigsSince(_ context.Context, from int64) ([]*routes.Config, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.store.mu.Unlock()
	return d.store.configs[from:], int64(len(d.store.configs)), nil
}

func (d *door) NewestTargets(ctx context.Context) ([]registry.Change, int64, error) {
	return d.TargetsSince(ctx, 0)
}

func (d *door) TargetsSince(_ context.Context, from int64) ([]registry.Change, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.store.mu.Unlock()
	return append([]registry.Change(nil), d.store.targets[from:]...), int64(len(d.store.targets)), nil
}

func (d *door) Members(context.Context) ([]discovery.Member, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.store.mu.Unlock()
	return append([]discovery.Member(nil), d.store.members...), nil
}

func (d *door) Announce(_ context.Context, m discovery.Member) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.store.mu.Unlock()
	d.store.members = append(d.store.members, m)
	return nil
}

func (d *door) CrashMarks(context.Context) ([]discovery.CrashMark, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.store.mu.Unlock()
	return nil, nil
}

func (d *door) PutCrashMark(context.Context, discovery.CrashMark) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.store.mu.Unlock()
	return nil
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

// noProber reads nothing.
type noProber struct{}

func (noProber) Open(string, string, string) Probe { return noProbe{} }

type noProbe struct{}

func (noProbe) Read(context.Context) (dispatch.LoadReport, error) {
	return dispatch.LoadReport{Slots: 4, Slowdown: 1}, nil
}
func (noProbe) Close() {}

// testFleet runs nodes in two zones on loopback.
// usualCapacity is that of an instance with 0.3 of a core.
const usualCapacity = 300

// targetHeartbeat is the interval of the targets' heartbeats in the store.
const targetHeartbeat = 1500 * time.Millisecond

type testFleet struct {
	store *fakeStore
	nodes []*Node
	doors []*door
	// began is when the first node was started.
	began time.Time
	// crashMark takes over the crash marks of a node.
	crashMark func(id, key string) bool
	// bootstrap starts the nodes as those of a system that never ran.
	bootstrap bool
	// capacity is that of each node.
	capacity int
	stops    []context.CancelFunc
}

func startFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	f := &testFleet{store: &fakeStore{}, capacity: usualCapacity}
	f.fill(t, count)
	return f
}

// fill starts nodes in two zones, each with a target.
func (f *testFleet) fill(t *testing.T, count int) {
	t.Helper()
	f.store.publish(1)
	f.store.record("t1", &registry.Entry{ID: "t1", Address: "127.0.0.1:9", Zone: "z0", Service: "s", Slots: 4})
	f.store.record("t2", &registry.Entry{ID: "t2", Address: "127.0.0.1:9", Zone: "z1", Service: "s", Slots: 4})
	for i := range count {
		f.start(t, i)
	}
	f.await(t, "all nodes serve", func(n *Node) bool { return n.Ready() })
}

func (f *testFleet) start(t *testing.T, i int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	f.startAt(t, fmt.Sprintf("n%d", i), fmt.Sprintf("z%d", i%2), address, nil)
}

func (f *testFleet) startAt(t *testing.T, id, zone, address string, seeds []string) {
	t.Helper()
	start := time.Now()
	if f.began.IsZero() {
		f.began = start
	}
	d := &door{store: f.store}
	n := New(Config{
		CrashMarks: fakeMarks(func(key string) bool { return f.crashMark != nil && f.crashMark(id, key) }),
		Self:       discovery.Member{ID: id, Zone: zone, Address: address, Started: start.UnixNano(), Capacity: f.capacity},
		Store:      d, Policy: dispatch.DefaultPolicy(), Prober: noProber{}, ProbeInterval: 25 * time.Millisecond, TargetHeartbeat: targetHeartbeat, Seeds: seeds, Bootstrap: f.bootstrap,
		Now:    func() time.Duration { return time.Since(start) },
		Random: rand.New(rand.NewPCG(uint64(len(f.nodes)), 1)), Log: slog.New(slog.DiscardHandler),
	})
	if err := n.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	f.nodes, f.doors, f.stops = append(f.nodes, n), append(f.doors, d), append(f.stops, cancel)
}

// fakeMarks reports whether a crash mark is news.
type fakeMarks func(key string) bool

func (f fakeMarks) MergeCrashMark(key string, _ []byte) bool { return f(key) }
func (fakeMarks) CrashDigest() uint64                        { return 0 }
func (fakeMarks) EachCrashMark(func(string, []byte, bool))   {}

// await waits until all nodes fulfil a condition.
func (f *testFleet) await(t *testing.T, what string, holds func(*Node) bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range f.nodes {
		for !holds(n) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not on %s", what, n.Self.ID)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func version(n *Node) uint64 { return n.View().Table.Version }

// Guards against configurations and departures that reach only the instances that read the store.
func TestNewsReachAll(t *testing.T) {
	f := startFleet(t, 4)
	f.store.publish(2)
	f.await(t, "version 2", func(n *Node) bool { return version(n) == 2 })
}

// Guards against an instance that the store turns away and that therefore misses a configuration.
func TestInstanceTurnedAwayHearsFromPeers(t *testing.T) {
	f := startFleet(t, 4)
	f.await(t, "members", func(n *Node) bool { return n.View().Instances == 4 })
	for _, i := range []int{0, 3} {
		f.doors[i].set(true)
	}
	f.store.publish(3)
	f.await(t, "version 3", func(n *Node) bool { return version(n) == 3 })
}

// Guards against a configuration that is older than the one in force.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := startFleet(t, 2)
	f.store.publish(9)
	f.await(t, "version 9", func(n *Node) bool { return version(n) == 9 })
	f.store.publish(4)
	f.store.publish(10)
	f.await(t, "version 10", func(n *Node) bool {
		if v := version(n); v < 9 {
			t.Fatalf("%s went back to %d", n.Self.ID, v)
		}
		return version(n) == 10
	})
}

// Guards against calls to the store that grow with the number of instances: each call is paid for.
func TestFewReadTheStore(t *testing.T) {
	f := startFleet(t, 6)
	f.await(t, "members", func(n *Node) bool { return n.View().Instances == 6 })
	// Readers announce themselves once more when the number of instances is known, in up to three calls each.
	time.Sleep(settleTime + 500*time.Millisecond)
	before := f.store.callCount()
	time.Sleep(2 * time.Second)
	calls := f.store.callCount() - before
	// The topics are read every 500 and 800 ms, which makes 7 calls; a late datagram may cost some more.
	if calls > 11 {
		t.Errorf("6 instances made %d calls in 2 s", calls)
	}
}

// Guards against an instance that starts while the store is away although peers know everything: it asks the seeds.
func TestStartWithoutStore(t *testing.T) {
	f := startFleet(t, 2)
	for _, d := range f.doors {
		d.set(true)
	}
	f.start(t, 2)
	f.doors[2].set(true)
	self := f.nodes[0].Self
	f.nodes[2].post(received{datagram: &datagram{From: self.ID, Started: self.Started, Self: &self}, from: self.Address})
	f.await(t, "the new node serves", func(n *Node) bool { return n.Ready() })
}

// Guards against datagrams of others that end the control loop.
func FuzzDatagram(f *testing.F) {
	seed, _ := encode(&datagram{From: "n1", Started: 2, Loads: []loadNote{{Target: 1, PacePercent: 100}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decode(b)
		if err != nil {
			return
		}
		n := New(Config{
			Self: member("n0", "z0"), Store: &door{store: &fakeStore{}}, Prober: noProber{},
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
		n.handle(ctx, received{datagram: d, from: "127.0.0.1:9"}, begin)
	})
}

// Guards against datagrams of an instance that started again being dropped until it has introduced itself: after a
// restart of the whole fleet, readings would come late.
func TestLaterIncarnationIsHeardAtOnce(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: member("x0", "z0"), Store: f.doors[0], Prober: noProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	announced := member("x1", "z0")
	n.members.learn(announced, begin)
	n.handle(context.Background(), received{datagram: &datagram{From: "x1", Started: announced.Started + 5, Reader: true}}, begin)
	if p := n.members.peers["x1"]; !p.isLive(begin) || p.readerAt != begin {
		t.Errorf("%+v", p)
	}
}

// Guards against a reader that the store turns away and that keeps sending to a target that left, until its next try:
// on scale-2 of wingworks-tz a reader that had been cut off did so for 12 s (DRAIN, seed 93889207).
func TestTurnedAwayReaderLearnsDepartures(t *testing.T) {
	f := startFleet(t, 4)
	f.await(t, "members", func(n *Node) bool { return n.View().Instances == 4 })
	f.doors[0].set(true)
	// More changes than a datagram repeats, so that the reader falls behind.
	for i := range 3 * maxNoteChanges {
		f.store.record(fmt.Sprintf("u%d", i), &registry.Entry{ID: fmt.Sprintf("u%d", i), Address: "127.0.0.1:9", Zone: "z0", Service: "s", Slots: 4})
	}
	f.store.record("t1", nil)
	began := time.Now()
	gone := make(chan struct{}, 1)
	for time.Since(began) < 5*time.Second {
		answer := stateAsked{reply: make(chan State, 1)}
		f.nodes[0].post(answer)
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
		t.Errorf("the departure was known after %s; it binds after 2 s", elapsed)
	}
}

// Guards against two readers of a zone that is cut in two and together read its targets too often.
func TestReadsRarerWhileMembersAreMissing(t *testing.T) {
	all := []discovery.Member{member("a1", "a"), member("a2", "a"), member("a3", "a"), member("a4", "a")}
	now := begin.Add(time.Minute)
	m := table("a1", now, all...)
	if got := m.missing(now); got != 1 {
		t.Errorf("all are heard: %v", got)
	}
	later := now.Add(2 * liveFor)
	m.peers["a2"].heard = later
	if got := m.missing(later); got != 2 {
		t.Errorf("half of the zone is silent: %v", got)
	}
	long := later.Add(missingFor)
	m.peers["a2"].heard = long
	if got := m.missing(long); got != 1 {
		t.Errorf("long after: %v", got)
	}
}

// Guards against a process that ends because a peer reports a silent target of a service that this instance does not know
// yet.
func TestReadingOfUnknownService(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: member("x0", "z0"), Store: f.doors[0], Prober: noProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.byHash[7] = targetRef{id: "t7", zone: "z1"}
	n.observe([]loadNote{{Target: 7}, {Target: 7, PacePercent: 100}, {Target: 8}})
}

// Guards against readings of other zones that pile up for ever in the reader of a zone without targets, and never reach
// the other instances of that zone.
func TestZoneWithoutTargetsPassesReadingsOn(t *testing.T) {
	f := startFleet(t, 1)
	n := New(Config{
		Self: member("x0", "z9"), Store: f.doors[0], Prober: noProber{}, Now: func() time.Duration { return time.Second },
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler),
	})
	n.reader = true
	far := member("x1", "z0")
	n.members.learn(far, begin)
	now := begin
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		d := &datagram{From: "x1", Started: far.Started, Reader: true, Loads: []loadNote{{Target: 7, PacePercent: 100}}}
		n.handle(context.Background(), received{datagram: d}, now)
		n.announceReader(now)
	}
	if len(n.remote) > 3 {
		t.Errorf("%d readings wait", len(n.remote))
	}
}

// Guards against instances that start at the same moment and never meet, because each reads the announced members before
// the other one is announced: on quiet-1 of wingworks-tz two of them read the same zone.
func TestInstancesThatStartTogetherMeet(t *testing.T) {
	f := &testFleet{store: &fakeStore{}, capacity: usualCapacity}
	f.store.publish(1)
	for i := range 6 {
		f.start(t, i)
	}
	f.await(t, "all instances", func(n *Node) bool { return n.Ready() && n.View().Instances == 6 })
	time.Sleep(settleTime + time.Second)
	f.await(t, "all instances are heard", func(n *Node) bool { return n.View().Instances == 6 })
}
