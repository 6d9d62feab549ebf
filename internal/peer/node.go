package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

const (
	// exchangeInterval is the time between two exchanges that this instance starts.
	exchangeInterval = 200 * time.Millisecond
	// maxExchanges bounds the exchanges in flight, so that silent peers do not pile up goroutines. At a timer of 1 s
	// five may be in flight even when no peer answers.
	maxExchanges = 8
	// spreadQueue bounds the rumors that wait for the control goroutine.
	spreadQueue = 1024
	// leaveContacts is how many members are told directly of a planned stop.
	leaveContacts = 3
)

// Owner runs functions on the goroutine that owns the control state.
type Executor interface {
	Do(ctx context.Context, f func()) error
}

// Configuration is the configuration that peers exchange. Its methods are called on the control goroutine.
type Configuration interface {
	// Through returns the applied offset.
	AppliedOffset() logservice.Offset
	// Delta returns what changed after an offset.
	Delta(after logservice.Offset) *intent.Delta
	// Merge applies a delta, unless it is older than what is applied.
	Merge(d *intent.Delta) error
	// Known takes note of the applied offset of a peer.
	ObservePeerOffset(through logservice.Offset)
}

// Config configures a node.
type Config struct {
	// Self describes this instance. The incarnation is drawn at random at the start of the process.
	Self Member
	// Listen is the address to accept peers at.
	Listen        string
	Secret        string
	Executor      Executor
	Configuration Configuration
	Random        *rand.Rand
	Log           *slog.Logger
}

// Node connects this instance to its peers. Its exported methods may be called from any goroutine, but for those that
// say otherwise.
type Node struct {
	config  Config
	start   time.Time
	links   *links
	server  *server
	rumors  chan Rumor
	dropped atomic.Uint64
	members atomic.Pointer[[]Member]
	flights chan struct{}
	// pulling is set while the configuration is pulled.
	pulling atomic.Bool

	// The fields below belong to the control goroutine.
	gossip  *Gossip
	onClose func(ClosingRecord)
	encoded snapshot
	// nextPull holds the earliest time of the next pull for each kind.
	nextPull map[Kind]time.Duration
	joined   bool
}

// NewNode returns a node. It opens no port.
func NewNode(c Config) (*Node, error) {
	n := &Node{
		config:   c,
		start:    time.Now(),
		links:    newLinks(c.Secret, rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))),
		rumors:   make(chan Rumor, spreadQueue),
		flights:  make(chan struct{}, maxExchanges),
		nextPull: map[Kind]time.Duration{},
	}
	var err error
	if n.gossip, err = NewGossip(c.Self, c.Configuration.AppliedOffset); err != nil {
		return nil, trace.Wrap(err)
	}
	n.publishMembers()
	n.server, err = newServer(c.Secret, &Service{node: n}, c.Log)
	return n, trace.Wrap(err)
}

// Register sets the handler of a kind of rumors. It must be called before Run.
func (n *Node) Register(kind Kind, h Handler) { n.gossip.Register(kind, h) }

// OnClose sets the function that takes parts of closing records. It runs on the control goroutine. It must be set
// before Run.
func (n *Node) OnClosingRecord(f func(ClosingRecord)) { n.onClose = f }

// Spread queues a rumor from any goroutine. It never blocks: when the queue is full the rumor is dropped and counted.
func (n *Node) Spread(r Rumor) error {
	if err := r.Validate(); err != nil {
		return err
	}
	select {
	case n.rumors <- r:
	default:
		n.dropped.Add(1)
	}
	return nil
}

// SpreadOwned queues a rumor. It must be called on the control goroutine.
func (n *Node) SpreadFromControl(r Rumor) { n.gossip.Spread(r) }

// DroppedRumors returns how many rumors Spread dropped.
func (n *Node) DroppedRumors() uint64 { return n.dropped.Load() }

// Members returns this instance and all members that are known. The slice must not be modified.
func (n *Node) Members() []Member { return *n.members.Load() }

// SetContacts sets the addresses from the list and the settings.
func (n *Node) SetContacts(ctx context.Context, addresses []string) error {
	return n.config.Executor.Do(ctx, func() { n.gossip.SetContacts(addresses) })
}

// Open opens the listener, so that an address that cannot be used is reported before anything runs.
func (n *Node) Listen() error { return n.server.open(n.config.Listen) }

// Serve accepts peers until Close. Open comes first.
func (n *Node) Serve() error { return n.server.run() }

// Run exchanges with peers until the context ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.rumors:
			_ = n.config.Executor.Do(ctx, func() { n.gossip.Spread(r) })
		case <-ticker.C:
			n.tick(ctx)
		}
	}
}

func (n *Node) tick(ctx context.Context) {
	var contact Contact
	var request Exchange
	found := false
	err := n.config.Executor.Do(ctx, func() {
		contact, found = n.gossip.Tick(n.now(), n.config.Random)
		n.publishMembers()
		if found {
			request = n.gossip.NewRequest(contact, n.config.Random)
		}
	})
	if err != nil || !found {
		return
	}
	select {
	case n.flights <- struct{}{}:
		go func() {
			defer func() { <-n.flights }()
			n.exchange(ctx, contact, request)
		}()
	default:
		n.config.Log.Warn("Skipped an exchange because too many are in flight.")
	}
}

func (n *Node) exchange(ctx context.Context, contact Contact, request Exchange) {
	var answer Exchange
	err := n.links.call(ctx, contact.Address, "Peer.Exchange", request, &answer)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.config.Log.Debug("An exchange failed.", "peer", contact.Address, "error", err)
	}
	_ = n.config.Executor.Do(ctx, func() {
		if err != nil {
			n.gossip.HandleFailure(n.now(), contact)
		} else {
			n.gossip.HandleResponse(n.now(), contact, answer)
			n.compare(answer, contact.Address)
		}
		n.publishMembers()
	})
}

// publishMembers makes the members visible to other goroutines. It runs on the control goroutine.
func (n *Node) publishMembers() {
	if n.gossip.TakeChanged() {
		members := n.gossip.Members()
		n.members.Store(&members)
	}
}

func (n *Node) now() time.Duration { return time.Since(n.start) }
