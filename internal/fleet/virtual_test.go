package fleet

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// virtualNet carries datagrams and calls between the nodes of one test in virtual time.
type virtualNet struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*Node
	cut    map[string]bool
	// loss is the share of the datagrams that are lost.
	loss float64
}

// leastDelay and delaySpread are the times that a datagram takes.
const (
	leastDelay  = 300 * time.Microsecond
	delaySpread = 2 * time.Millisecond
)

func (v *virtualNet) delay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return leastDelay + time.Duration(v.random.Int64N(int64(delaySpread)))
}

func (v *virtualNet) loses() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.random.Float64() < v.loss
}

// reach returns the node at an address, or nil if it does not run or no path leads there.
func (v *virtualNet) reach(from, to string) *Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut[from] || v.cut[to] {
		return nil
	}
	return v.nodes[to]
}

func (v *virtualNet) setCut(address string, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut[address] = cut
}

func (v *virtualNet) connect(n *Node) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nodes[n.Self.Address] = n
	n.link = &virtualLink{net: v, node: n}
}

type virtualLink struct {
	net  *virtualNet
	node *Node
}

func (l *virtualLink) run(context.Context) {}

func (l *virtualLink) send(b []byte, addresses []*net.UDPAddr) {
	self := l.node.Self.Address
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(self))
	for _, to := range addresses {
		if l.net.loses() {
			continue
		}
		address, bytes := to.String(), slices.Clone(b)
		time.AfterFunc(l.net.delay(), func() {
			if peer := l.net.reach(self, address); peer != nil {
				peer.take(bytes, from)
			}
		})
	}
}

// call reaches the node at an address after the delay of the network.
func (l *virtualLink) call(ctx context.Context, address string) (*Node, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	time.Sleep(l.net.delay())
	peer := l.net.reach(l.node.Self.Address, address)
	if peer == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return peer, nil
}

func (l *virtualLink) fetch(ctx context.Context, address string, request StateRequest) (*State, error) {
	peer, err := l.call(ctx, address)
	if err != nil {
		return nil, err
	}
	var state State
	if err := (&Fleet{peer}).State(request, &state); err != nil {
		return nil, err
	}
	time.Sleep(l.net.delay())
	return &state, nil
}

func (l *virtualLink) fetchMarks(ctx context.Context, address string) ([]discovery.CrashMark, error) {
	peer, err := l.call(ctx, address)
	if err != nil {
		return nil, err
	}
	time.Sleep(l.net.delay())
	return peer.allMarks(), nil
}

func (l *virtualLink) close() {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.nodes[l.node.Self.Address] == l.node {
		delete(l.net.nodes, l.node.Self.Address)
	}
}

// refusal is how the store treats calls.
type refusal int

const (
	serves refusal = iota
	refuses
	silent
)

const (
	storeDelay = 4 * time.Millisecond
	slowDelay  = 220 * time.Millisecond
	// storeTimeout is that of the store's client.
	storeTimeout = 900 * time.Millisecond
)

var errRefused = errors.New("the store does not serve")

// virtualStore is a log of the records of targets, as the platform's store keeps it, in virtual time.
type virtualStore struct {
	mu      sync.Mutex
	records []registry.Change
	// first is the offset of the first record that is kept.
	first   int64
	members []discovery.Member
	marks   map[string]discovery.CrashMark
	all     refusal
	slow    bool
	// some holds how the store treats single instances, by id.
	some map[string]refusal
}

func (s *virtualStore) append(id string, e *registry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, registry.Change{ID: id, Offset: int64(len(s.records)), Entry: e})
}

// change changes how the store behaves.
func (s *virtualStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// newest returns the newest record of each target that has an entry. The lock is held.
func (s *virtualStore) newest() []registry.Change {
	byID := map[string]registry.Change{}
	for _, c := range s.records {
		byID[c.ID] = c
	}
	var listed []registry.Change
	for _, c := range byID {
		if c.Entry != nil {
			listed = append(listed, c)
		}
	}
	return listed
}

// virtualDoor is the store as one instance sees it.
type virtualDoor struct {
	*virtualStore
	id string
}

// enter takes the time of a call and locks the store unless it refuses the call.
func (d virtualDoor) enter() error {
	d.mu.Lock()
	how, slow := max(d.all, d.some[d.id]), d.slow
	d.mu.Unlock()
	switch {
	case how == silent:
		time.Sleep(storeTimeout)
		return errRefused
	case slow:
		time.Sleep(slowDelay)
	default:
		time.Sleep(storeDelay)
	}
	if how == refuses {
		return errRefused
	}
	d.mu.Lock()
	return nil
}

func (d virtualDoor) NewestConfig(context.Context) (*routes.Config, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.mu.Unlock()
	return &routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, 1, nil
}

func (d virtualDoor) ConfigsSince(context.Context, int64) ([]*routes.Config, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.mu.Unlock()
	return nil, 1, nil
}

func (d virtualDoor) NewestTargets(context.Context) ([]registry.Change, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.mu.Unlock()
	return d.newest(), int64(len(d.records)), nil
}

func (d virtualDoor) TargetsSince(_ context.Context, from int64) ([]registry.Change, int64, error) {
	if err := d.enter(); err != nil {
		return nil, 0, err
	}
	defer d.mu.Unlock()
	if from < d.first {
		return nil, 0, &discovery.TrimmedError{Topic: "targets", From: from}
	}
	return slices.Clone(d.records[from:]), int64(len(d.records)), nil
}

func (d virtualDoor) Members(context.Context) ([]discovery.Member, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	return slices.Clone(d.members), nil
}

func (d virtualDoor) Announce(_ context.Context, m discovery.Member) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.mu.Unlock()
	d.members = slices.DeleteFunc(d.members, func(other discovery.Member) bool { return other.ID == m.ID })
	d.members = append(d.members, m)
	return nil
}

func (d virtualDoor) CrashMarks(context.Context) ([]discovery.CrashMark, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.marks)), nil
}

func (d virtualDoor) PutCrashMark(_ context.Context, mark discovery.CrashMark) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.mu.Unlock()
	if d.marks == nil {
		d.marks = map[string]discovery.CrashMark{}
	}
	d.marks[mark.Key] = mark
	if mark.Data == nil {
		delete(d.marks, mark.Key)
	}
	return nil
}

// startVirtual runs a node until the returned function is called. Configure changes its configuration, and may be nil.
func startVirtual(v *virtualNet, s *virtualStore, self discovery.Member, seeds []string, log *slog.Logger, configure func(*Config)) (*Node, func()) {
	start := time.Now()
	self.Started = start.UnixNano()
	v.mu.Lock()
	random := rand.New(rand.NewPCG(v.random.Uint64(), 1))
	v.mu.Unlock()
	c := Config{
		Self: self, Store: virtualDoor{s, self.ID}, Seeds: seeds, Policy: dispatch.DefaultPolicy(), Prober: noProber{},
		ProbeInterval: 50 * time.Millisecond, TargetHeartbeat: targetHeartbeat, Now: func() time.Duration { return time.Since(start) }, Random: random, Log: log,
	}
	if configure != nil {
		configure(&c)
	}
	n := New(c)
	v.connect(n)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	return n, func() { cancel(); <-done }
}
