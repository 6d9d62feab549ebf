// Package gateway proxies HTTP/1 requests of callers to targets. A header or the
// first path segment selects the service of a request. (Package ingress proxies
// requests that are routed by host and path.) Each connection of a caller is
// served by one goroutine, which reads the snapshot of the control loop and never
// writes control state.
package gateway

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/ticket"
)

// Counter records metrics of requests. Implementations must be safe for concurrent use. The service name is empty if the
// active configuration does not contain the requested service, so that callers cannot create metric labels.
type Counter interface {
	// Answered counts an answer of a target.
	Answered(service, class string)
	// Refused counts a refusal or failure.
	Refused(service string, r *reason.Reason)
	// Retried counts a retry.
	Retried(service string, r *reason.Reason)
	// AddedLatency records the time that a request spent outside exchanges with targets or other instances.
	AddedLatency(time.Duration)
}

// Gateway serves the requests of callers. Its methods are safe for concurrent use unless they must be called before Run.
type Gateway struct {
	// ObserveRequest is called before the first attempt of each request. It must not block and must be set before Run. It
	// may be nil.
	ObserveRequest func(*control.Service)
	// ObserveDraining is called with the target's incarnation for each answer that says that its target is draining. It
	// must not block and must be set before Run. It may be nil.
	ObserveDraining func(target *control.Target, incarnation string)

	instance       string
	limits         settings.Limits
	inbound        inbound.Limits
	memory         *membudget.Budget
	snapshot       func() *control.Snapshot
	counter        Counter
	log            *slog.Logger
	start          time.Time
	listener       *inbound.Listener
	server         *server.Hertz
	connections    inbound.Connections
	inFlight       *inFlight
	ticketSettings settings.Tickets
	tickets        *ticket.Manager
	owners         OwnerResolver
	ownerPools     forwardPools
	crashGuard     *crashguard.Guard
	panics         panicguard.Guard
	// incarnations maps the address of a target to the incarnation (string) that it last reported.
	incarnations sync.Map
	onCrashMark  func(key string, payload []byte)
}

// New returns a gateway that will listen on the caller address of the settings. Open opens the listener.
func New(s *settings.Settings, snapshot func() *control.Snapshot, counter Counter, log *slog.Logger) *Gateway {
	g := &Gateway{
		instance: s.Instance.ID,
		limits:   s.Limits,
		inbound: inbound.Limits{
			MaxHeaderBytes: s.Limits.MaxHeaderBytes,
			MaxBodyBytes:   s.Limits.MaxRequestBodyBytes,
			HeaderTimeout:  receiveTimeout,
			BodyTimeout:    receiveTimeout,
		},
		memory:         membudget.New(s.Memory.RequestBytes()),
		connections:    inbound.Connections{Limit: s.Listen.ConnectionLimit(s.Memory)},
		snapshot:       snapshot,
		counter:        counter,
		log:            log,
		start:          time.Now(),
		listener:       &inbound.Listener{Address: s.Listen.Caller},
		inFlight:       newInFlight(),
		ticketSettings: s.Tickets,
		tickets:        newTicketManager(s.Instance.ID, randomNumber(), s.Tickets),
		owners:         noOwnerResolver{},
	}
	g.crashGuard = crashguard.New(g.spreadCrashMark)
	g.server = server.New(
		server.WithListener(g.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
	)
	g.server.AddProtocol(suite.HTTP1, &protocolFactory{g})
	g.inFlight.hasDrainLimit = s.Drain.LimitMS > 0
	return g
}

// Open opens the caller listener. It is separate from Run so that an unusable address is reported before anything runs.
func (g *Gateway) Open() error { return g.listener.Open() }

// Run serves callers until Shutdown. Open must be called first.
func (g *Gateway) Run() error { return g.server.Run() }

// Address returns the listening address. It is empty before Open.
func (g *Gateway) Address() string { return g.listener.BoundAddress() }

// Panics returns the number of requests whose handling ended in a panic.
func (g *Gateway) Panics() int64 { return g.panics.Panics() }

// RequestBytes returns the number of bytes that the requests in flight hold of their memory budget.
func (g *Gateway) RequestBytes() int64 { return g.memory.Used() }

// ClosedConnections counts the connections of callers that were closed in favor of others.
func (g *Gateway) ClosedConnections() inbound.ClosedCounts { return g.connections.Closed() }

// Now returns the monotonic time since the gateway was created. The balancing policies use this clock.
func (g *Gateway) Now() time.Duration { return g.now() }

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func randomNumber() uint64 { return rand.Uint64() }
