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
	// exchangeInterval is the time between two exchanges started by this instance.
	exchangeInterval = 200 * time.Millisecond
	// maxInFlightExchanges limits the concurrent exchanges, so that unresponsive peers do not accumulate goroutines.
	// One exchange is started every 200 ms and times out after 1 s, so that up to 5 are in flight if no peer responds.
	maxInFlightExchanges = 8
	// spreadQueueSize limits the rumors queued by Spread for the control goroutine.
	spreadQueueSize = 1024
	// leaveContacts is the number of members to which Leave sends the announcement directly.
	leaveContacts = 3
)

// Executor runs functions on the control goroutine, which owns the control state.
type Executor interface {
	// Do runs f and waits until it returned. It returns an error if ctx is done before f was started.
	Do(ctx context.Context, f func()) error
}

// Configuration is the configuration that is replicated between peers. Its methods are called on the control goroutine.
type Configuration interface {
	// AppliedOffset returns the offset of the last applied record of the configuration log.
	AppliedOffset() logservice.Offset
	// Delta returns the changes after an offset.
	Delta(after logservice.Offset) *intent.Delta
	// Merge applies a delta. A delta older than the applied offset is ignored.
	Merge(d *intent.Delta) error
	// ObservePeerOffset is called with the applied offset of each peer that sends a message.
	ObservePeerOffset(offset logservice.Offset)
}

// Config configures a node.
type Config struct {
	// Self describes this instance. Its incarnation must be random for each start of the process.
	Self Member
	// ListenAddress is the address on which peers are accepted.
	ListenAddress string
	Secret        string
	Executor      Executor
	Configuration Configuration
	Random        *rand.Rand
	Log           *slog.Logger
}

// Node connects this instance to its peers. Its exported methods are safe for concurrent use unless stated otherwise.
type Node struct {
	config   Config
	start    time.Time
	connPool *connPool
	server   *server
	// spreadQueue holds rumors from Spread until Run passes them to the control goroutine.
	spreadQueue   chan Rumor
	droppedRumors atomic.Uint64
	members       atomic.Pointer[[]Member]
	// inFlight is a semaphore of maxInFlightExchanges.
	inFlight chan struct{}
	// pullingConfiguration is set while a pull of the configuration is running.
	pullingConfiguration atomic.Bool

	// The fields below are owned by the control goroutine.
	gossip          *Gossip
	onClosingRecord func(ClosingRecord)
	// cachedDelta is the last delta served to a pull, kept for its further pages.
	cachedDelta encodedDelta
	// nextPull is the earliest start of the next pull of each kind, as time since start.
	nextPull map[Kind]time.Duration
	// membersPulled is set once a pull of the members brought no new one.
	membersPulled bool
}

// NewNode returns a node that does not listen yet.
func NewNode(c Config) (*Node, error) {
	n := &Node{
		config:      c,
		start:       time.Now(),
		connPool:    newConnPool(c.Secret, rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))),
		spreadQueue: make(chan Rumor, spreadQueueSize),
		inFlight:    make(chan struct{}, maxInFlightExchanges),
		nextPull:    map[Kind]time.Duration{},
	}
	var err error
	if n.gossip, err = NewGossip(c.Self, c.Configuration.AppliedOffset); err != nil {
		return nil, trace.Wrap(err)
	}
	n.publishMembers()
	n.server, err = newServer(c.Secret, &Service{node: n}, c.Log)
	return n, trace.Wrap(err)
}

// Register sets the handler of a kind of rumors. It must be called before Run and Serve.
func (n *Node) Register(kind Kind, h Handler) { n.gossip.Register(kind, h) }

// OnClosingRecord sets the function that receives the parts of closing records. f runs on the control goroutine.
// OnClosingRecord must be called before Run and Serve.
func (n *Node) OnClosingRecord(f func(ClosingRecord)) { n.onClosingRecord = f }

// Spread queues a rumor. It never blocks: if the queue is full, the rumor is dropped and counted. It returns a
// *RumorSizeError if the rumor exceeds a limit.
func (n *Node) Spread(r Rumor) error {
	if err := r.Validate(); err != nil {
		return err
	}
	select {
	case n.spreadQueue <- r:
	default:
		n.droppedRumors.Add(1)
	}
	return nil
}

// SpreadFromControl queues a rumor without a limit check. It must be called on the control goroutine.
func (n *Node) SpreadFromControl(r Rumor) { n.gossip.Spread(r) }

// DroppedRumors returns the number of rumors dropped by Spread.
func (n *Node) DroppedRumors() uint64 { return n.droppedRumors.Load() }

// ClosedConnections returns how many connections without a complete handshake were evicted at the limit, and how many new ones were
// refused.
func (n *Node) ClosedConnections() (evicted, refused int64) { return n.server.handshakes.Counts() }

// Members returns this instance, followed by all other known members sorted by identity. The slice must not be
// modified.
func (n *Node) Members() []Member { return *n.members.Load() }

// SetContacts replaces the addresses from the instance list and the settings.
func (n *Node) SetContacts(ctx context.Context, addresses []string) error {
	return n.config.Executor.Do(ctx, func() { n.gossip.SetContacts(addresses) })
}

// Listen opens the listener, so that an unusable address is reported before the node runs.
func (n *Node) Listen() error { return n.server.listen(n.config.ListenAddress) }

// Serve accepts peers until Close. Listen must be called first.
func (n *Node) Serve() error { return n.server.run() }

// Run starts exchanges with peers until ctx is done.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.spreadQueue:
			_ = n.config.Executor.Do(ctx, func() { n.gossip.Spread(r) })
		case <-ticker.C:
			n.tick(ctx)
		}
	}
}

// tick starts the exchange of a round, unless too many are in flight.
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
	case n.inFlight <- struct{}{}:
		go func() {
			defer func() { <-n.inFlight }()
			n.exchange(ctx, contact, request)
		}()
	default:
		n.config.Log.Warn("Skipped an exchange because too many are in flight.")
	}
}

// exchange sends a request and hands the response or failure to the state machine.
func (n *Node) exchange(ctx context.Context, contact Contact, request Exchange) {
	var response Exchange
	startedAt := n.now()
	err := n.connPool.call(ctx, contact.Address, "Peer.Exchange", request, &response)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.config.Log.Debug("An exchange failed.", "peer", contact.Address, "error", err)
	}
	_ = n.config.Executor.Do(ctx, func() {
		if err != nil {
			n.gossip.HandleFailure(startedAt, n.now(), contact)
		} else {
			n.gossip.HandleResponse(n.now(), contact, response)
			n.startPulls(response, contact.Address)
		}
		n.publishMembers()
	})
}

// publishMembers makes changed members visible to other goroutines. It must be called on the control goroutine.
func (n *Node) publishMembers() {
	if n.gossip.TakeChanged() {
		members := n.gossip.Members()
		n.members.Store(&members)
	}
}

// now returns the monotonic time since the start of the node.
func (n *Node) now() time.Duration { return time.Since(n.start) }
