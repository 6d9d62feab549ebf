// Package gateway accepts requests of callers, sends them to targets and returns
// the answers. Each connection of a caller is served by one goroutine, which
// reads the snapshot of the control loop and never writes control state.
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
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/ticket"
)

// Counter counts outcomes, refusals and retries. It is safe for concurrent use. The service is empty when the request
// names none that is in force, so that callers cannot create metric labels.
type Counter interface {
	// Answered counts an answer passed on from a target.
	Answered(service, class string)
	// Refused counts a refusal or failure.
	Refused(service string, why *reason.Reason)
	// Retried counts a retry.
	Retried(service string, why *reason.Reason)
	// AddedLatency records the time of a request outside exchanges with targets.
	AddedLatency(time.Duration)
}

// Gateway serves callers.
type Gateway struct {
	// ObserveRequest is called before the first attempt of each request. It must not block. It may be nil.
	ObserveRequest func(*control.Service)
	// ObserveDraining is called for each answer that says that its target is leaving, with the target's incarnation. It
	// must not block. Nil disables it. It is set before Run.
	ObserveDraining func(target *control.Target, incarnation string)

	instance    string
	limits      settings.Limits
	inbound     inbound.Limits
	snapshot    func() *control.Snapshot
	counter     Counter
	log         *slog.Logger
	start       time.Time
	listener    *inbound.Listener
	server      *server.Hertz
	connections inbound.Connections
	inFlight    *inFlight
	tickets     settings.Tickets
	desk        *ticket.Manager
	owners      OwnerResolver
	forwards    forwardPools
	guard       *crashguard.Guard
	panics      panicguard.Guard
	// incarnations holds the latest incarnation seen of each target, by address.
	incarnations sync.Map
	spreadMark   func(key string, payload []byte)
}

// New returns a gateway that listens on the caller address of the settings. It opens no port.
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
		snapshot: snapshot,
		counter:  counter,
		log:      log,
		start:    time.Now(),
		listener: &inbound.Listener{Address: s.Listen.Caller},
		inFlight: newInFlight(),
		tickets:  s.Tickets,
		desk:     newDesk(s.Instance.ID, randomNumber(), s.Tickets),
		owners:   noOwners{},
	}
	g.guard = crashguard.New(g.spreadCrash)
	g.server = server.New(
		server.WithListener(g.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
	)
	g.server.AddProtocol(suite.HTTP1, &protocolFactory{g})
	g.inFlight.limited = s.Drain.LimitMS > 0
	return g
}

// Open opens the caller listener, so that an address that cannot be used is reported before anything runs.
func (g *Gateway) Open() error { return g.listener.Open() }

// Run serves until Shutdown. Open comes first.
func (g *Gateway) Run() error { return g.server.Run() }

// Address returns the listening address. It is empty before Open.
func (g *Gateway) Address() string { return g.listener.BoundAddress() }

// Panics returns the number of requests whose handling ended in a panic.
func (g *Gateway) Panics() int64 { return g.panics.Panics() }

// Now is the monotonic time that the policies see.
func (g *Gateway) Now() time.Duration { return g.now() }

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func randomNumber() uint64 { return rand.Uint64() }
