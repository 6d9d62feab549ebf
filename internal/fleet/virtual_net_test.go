package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
)

// virtualNet carries datagrams and calls between the nodes of one test in virtual time.
type virtualNet struct {
	mu          sync.Mutex
	random      *rand.Rand
	nodes       map[string]*Node
	partitioned map[string]bool
	// paused holds the datagrams that wait in the sockets of paused nodes, by address.
	paused map[string][]func()
	// lossRate is the share of datagrams that are lost.
	lossRate float64
	// loses reports whether a datagram between two addresses is lost. It may be nil.
	loses func(from, to string) bool
}

// socketCapacity is the number of datagrams that the socket of a paused node holds. Later ones are dropped, so that the
// node receives the oldest ones when it resumes.
const socketCapacity = 200

// A datagram takes minDelay plus up to delaySpread.
const (
	minDelay    = 300 * time.Microsecond
	delaySpread = 2 * time.Millisecond
)

func (v *virtualNet) delay() time.Duration {
	return minDelay + v.upTo(delaySpread)
}

func (v *virtualNet) dropsDatagram(from, to string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.random.Float64() < v.lossRate || v.loses != nil && v.loses(from, to)
}

// upTo returns a random duration below a limit.
func (v *virtualNet) upTo(limit time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.random.Int64N(int64(limit)))
}

// nodeAt returns the node at an address, or nil if it does not run or a partition separates the two addresses.
func (v *virtualNet) nodeAt(from, to string) *Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.partitioned[from] || v.partitioned[to] {
		return nil
	}
	return v.nodes[to]
}

func (v *virtualNet) setPartitioned(address string, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.partitioned[address] = cut
}

// pause makes datagrams to an address wait until resume, which delivers them in order.
func (v *virtualNet) pause(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.paused == nil {
		v.paused = map[string][]func(){}
	}
	v.paused[address] = []func(){}
}

func (v *virtualNet) resume(address string) {
	v.mu.Lock()
	waiting := v.paused[address]
	delete(v.paused, address)
	v.mu.Unlock()
	for _, receive := range waiting {
		receive()
	}
}

func (v *virtualNet) isPaused(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, paused := v.paused[address]
	return paused
}

// deliver runs receive, which passes a datagram to the node at an address, now or when the node resumes.
func (v *virtualNet) deliver(address string, receive func()) {
	v.mu.Lock()
	waiting, paused := v.paused[address]
	if paused && len(waiting) < socketCapacity {
		v.paused[address] = append(waiting, receive)
	}
	v.mu.Unlock()
	if !paused {
		receive()
	}
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
		address, bytes := to.String(), slices.Clone(b)
		if l.net.dropsDatagram(self, address) {
			continue
		}
		time.AfterFunc(l.net.delay(), func() {
			if peer := l.net.nodeAt(self, address); peer != nil {
				l.net.deliver(address, func() { peer.receiveDatagram(bytes, from) })
			}
		})
	}
}

// call returns the node at an address after the delay of the network, or an error after fetchTimeout.
func (l *virtualLink) call(ctx context.Context, address string) (*Node, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	time.Sleep(l.net.delay())
	peer := l.net.nodeAt(l.node.Self.Address, address)
	if peer == nil || l.net.isPaused(address) {
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

// startVirtualNode runs a node and returns it with a function that stops it. configure changes its configuration, and
// may be nil.
func startVirtualNode(v *virtualNet, s *virtualStore, self discovery.Member, seeds []string, log *slog.Logger, configure func(*Config)) (*Node, func()) {
	start := time.Now()
	self.Started = start.UnixNano()
	v.mu.Lock()
	random := rand.New(rand.NewPCG(v.random.Uint64(), 1))
	v.mu.Unlock()
	s.update(func() { delete(s.seen, self.ID) })
	c := Config{
		Self: self, Store: virtualStoreClient{s, self.ID}, Seeds: seeds, Policy: dispatch.DefaultPolicy(), Prober: idleProber{},
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
