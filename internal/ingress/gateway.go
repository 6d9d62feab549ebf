// Package ingress serves callers whose requests are routed by host and path. It forwards each request unchanged to a
// target that package dispatch chooses, and returns the target's answer unchanged. A request that may not be repeated is
// sent again only when provably no target ran it.
package ingress

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/routes"
)

// Headers are the names of the headers that callers, this instance and targets use.
type Headers struct {
	// RequestID identifies one attempt of a caller. Targets echo it.
	RequestID string
	// DeadlineMS is the time that is left, in ms.
	DeadlineMS string
	// ExpectedInstance names the incarnation that may run the request.
	ExpectedInstance string
	// InstanceID names the incarnation that answered a health check.
	InstanceID string
	// NotExecuted marks answers of targets that did not run the request.
	NotExecuted string
	// Load is the load of the target.
	Load string
	// Leaving marks answers of targets that are leaving.
	Leaving string
}

// View is what the gateway knows of the fleet. It is immutable.
type View struct {
	Table *routes.Table
	Pools map[string]*dispatch.Pool
	// Instances is the number of live instances, this one included.
	Instances int
}

// Counter counts what became of requests. It is safe for concurrent use.
type Counter interface {
	Answered(service, route string)
	Refused(service string, why *reason.Reason)
	Retried(service string, why *reason.Reason)
	// Denied counts the claims of targets that were denied before a request was sent or refused.
	Denied(service string, claims int)
	// Served records the time of a request from its arrival to its answer, and the time that it waited for a target.
	Served(route string, total, waited time.Duration)
}

// Config holds what a Gateway needs.
type Config struct {
	Address string
	Headers Headers
	// View returns the current view, or nil before the first configuration.
	View    func() *View
	Counter Counter
	Log     *slog.Logger
	// ParseLoad decodes the value of the load header.
	ParseLoad func(value []byte) (dispatch.LoadReport, bool)
	// OnMisdirected is called when an address answered for another incarnation. It must not block.
	OnMisdirected func(targetID string)
	// Now is the time since the start, and DetectSuspension that time after a look for a suspension of the machine. If DetectSuspension is nil,
	// suspensions are not noticed.
	Now              func() time.Duration
	DetectSuspension func() (now, suspended time.Duration)
	// CrashMarks tells other instances of requests that crash targets. It may be nil.
	CrashMarks CrashMarkSpreader
	// LogSampleOneIn is how many requests that went well share one log line. 0 logs none.
	LogSampleOneIn int
}

// Gateway serves callers.
type Gateway struct {
	Config
	listener    inbound.Listener
	server      *server.Hertz
	connections inbound.Connections
	draining    atomic.Bool
	inFlight    atomic.Int64
	openedAt    time.Duration
	answerCount atomic.Uint64
	panicGuard  panicguard.Guard
	crashGuard  *crashguard.Guard
	// looks counts the looks at targets that lost answers.
	lossProbes atomic.Int64
	// beforeSend is called between the decision and the sending of a request. Tests set it.
	beforeSend  func()
	logSampling atomic.Int64

	mu          sync.Mutex
	targetConns map[string]*targetConnections
}

// New returns a gateway. It opens no port.
func New(c Config) *Gateway {
	if c.DetectSuspension == nil {
		c.DetectSuspension = func() (time.Duration, time.Duration) { return c.Now(), 0 }
	}
	g := &Gateway{Config: c, listener: inbound.Listener{Address: c.Address}, targetConns: map[string]*targetConnections{}}
	g.crashGuard = crashguard.New(g.spreadCrashMark)
	g.SetLogSampling(c.LogSampleOneIn)
	g.server = server.New(
		server.WithListener(&g.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
	)
	g.server.AddProtocol(suite.HTTP1, &protocolFactory{g})
	return g
}

// Open opens the listener, so that an address that cannot be used is reported before anything runs.
func (g *Gateway) Open() error {
	g.openedAt = g.Now()
	return g.listener.Open()
}

// Run serves until Shutdown. Open comes first.
func (g *Gateway) Run() error { return g.server.Run() }

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Panics returns the number of requests whose handling ended in a panic.
func (g *Gateway) Panics() int64 { return g.panicGuard.Panics() }

// SetLogSampling sets how many requests that went well share one log line. 0 logs none.
func (g *Gateway) SetLogSampling(oneIn int) { g.logSampling.Store(int64(oneIn)) }

// Drain announces the close of connections with each further answer. New connections are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown stops accepting, closes idle connections and waits for the requests in flight until the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	g.listener.Drain()
	return g.connections.CloseWhenIdle(ctx)
}
