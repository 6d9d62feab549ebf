// Package ingress is the HTTP/1 reverse proxy for requests that are routed by host and path. It forwards each request to a
// target chosen by package dispatch, and the target's answer to the caller, both unchanged except for hop-by-hop headers and
// those in Headers. A request of a route that is not idempotent is retried only if it is certain that no target ran it.
package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/workspace"
)

// Headers holds the names of the HTTP headers that callers, instances and targets exchange. In ExpectedInstance and InstanceID,
// "instance" means a target.
type Headers struct {
	// RequestID carries the id of one attempt of a caller to get an answer. Targets echo it in their answers.
	RequestID string
	// DeadlineMS carries the remaining time until the deadline, in milliseconds.
	DeadlineMS string
	// ExpectedInstance carries the id of the target that may run the request.
	ExpectedInstance string
	// InstanceID carries the id of the incarnation that answered a health check.
	InstanceID string
	// NotExecuted is present, with any value, in answers of targets that did not run the request.
	NotExecuted string
	// Load carries a load report of the target.
	Load string
	// Leaving is "1" in answers of targets that are draining.
	Leaving string
	// Warmup carries how many milliseconds longer the target is cold.
	Warmup string
	// Key carries the key of the caller's workspace. It is never forwarded if the configuration has workspaces.
	Key string
	// Workspace carries the name of the workspace of the caller's key to targets.
	Workspace string
}

// View is an immutable snapshot of the configuration and the target pools.
type View struct {
	Table *routes.Table
	// Pools holds the targets by the name of their service.
	Pools map[string]*dispatch.Pool
	// Instances is the number of live instances, including this one.
	Instances int
}

// Counter records request metrics. It must be safe for concurrent use.
type Counter interface {
	// Answered counts an answer of a target that is forwarded.
	Answered(service, route string)
	// Refused counts a request that got no complete answer of a target. The service is empty if none was selected.
	Refused(service string, refusal *reason.Reason)
	// Retried counts a request that is sent to another target.
	Retried(service string, retry *reason.Reason)
	// Denied counts the claims that were denied before a target was chosen or the request was refused. A claim reserves a slot
	// of a target with the leader of its zone.
	Denied(service string, claims int)
	// Served records the time from the arrival of a request to its answer, and the part of it until the last dispatch decision.
	Served(route string, total, waited time.Duration)
	// SplitChosen counts a request for which the split of its route has chosen a service.
	SplitChosen(route, service string)
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Address is the host and port to listen on.
	Address string
	Headers Headers
	// View returns the current view, or nil before the first configuration. It must be safe for concurrent use.
	View    func() *View
	Counter Counter
	Log     *slog.Logger
	// ParseLoad decodes the value of the load header. It returns false if there is no valid load report.
	ParseLoad func(value []byte) (dispatch.LoadReport, bool)
	// ParseWarmup decodes the value of the warm-up header. It returns 0 if the target is not cold. It may be nil.
	ParseWarmup func(value []byte) time.Duration
	// OnMisdirected is called when a target's address answered with status 421, so that another incarnation listens there. It
	// must not block.
	OnMisdirected func(targetID string)
	// Now returns the time since the start of the process.
	Now func() time.Duration
	// DetectSuspension checks whether the machine was suspended, and returns the corrected value of Now and the time that the
	// machine was suspended since the last check. If it is nil, suspensions are not detected.
	DetectSuspension func() (now, suspended time.Duration)
	// Memory is the budget for what the requests in flight hold in memory. Nil is unlimited.
	Memory *membudget.Budget
	// MaxConnections is the maximum number of connections of callers. 0 means no limit.
	MaxConnections int
	// CrashMarks sends crash marks to the other instances. It may be nil.
	CrashMarks CrashMarkSpreader
	// Keys tells until when requests with keys may be sent. It is only used while the configuration has workspaces.
	Keys workspace.Freshness
	// Credit hands out the credits for the quotas of workspaces. Nil is unlimited.
	Credit credit.Source
	// LogSampleOneIn is n to log one of n requests that were answered in time, without a failure or a retry. 0 logs none of them.
	LogSampleOneIn int
}

// Gateway accepts requests of callers and forwards them to targets. It is safe for concurrent use.
type Gateway struct {
	Config
	listener    inbound.Listener
	server      *server.Hertz
	connections inbound.Connections
	keyHeaders  workspace.Headers
	draining    atomic.Bool
	// stopAt is the time since the start at which the process ends, 0 while it does not drain.
	stopAt    atomic.Int64
	durations durations
	inFlight  atomic.Int64
	// openedAt is the value of Now when Open was called.
	openedAt   time.Duration
	logSampler *logSampler
	panicGuard panicguard.Guard
	crashGuard *crashguard.Guard
	// lossProbes counts the running goroutines of watchForTermination.
	lossProbes atomic.Int64
	// beforeSend is called between the decision for a target and the sending of the request. It is only set by tests.
	beforeSend func()

	mu sync.Mutex
	// targetConns holds the connections by target id. It is guarded by mu.
	targetConns map[string]*targetConnections
}

// New returns a gateway that does not listen yet.
func New(c Config) *Gateway {
	if c.DetectSuspension == nil {
		c.DetectSuspension = func() (time.Duration, time.Duration) { return c.Now(), 0 }
	}
	g := &Gateway{
		Config: c, listener: inbound.Listener{Address: c.Address}, keyHeaders: workspace.NewHeaders(c.Headers.Key, c.Headers.Workspace),
		targetConns: map[string]*targetConnections{},
		logSampler:  newLogSampler(c.LogSampleOneIn, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	g.connections.Limit = c.MaxConnections
	g.crashGuard = crashguard.New(g.spreadCrashMark)
	g.server = server.New(
		server.WithListener(&g.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(inbound.ContextWithSocket),
		server.WithDisablePrintRoute(true),
	)
	g.server.AddProtocol(suite.HTTP1, &protocolFactory{g})
	return g
}

// Open starts to listen. It is separate from Run so that an unusable address is reported before anything else is started.
func (g *Gateway) Open() error {
	g.openedAt = g.Now()
	return g.listener.Open()
}

// Run serves callers until Shutdown is called. Open must be called before.
func (g *Gateway) Run() error { return g.server.Run() }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Panics returns the number of requests whose handling panicked.
func (g *Gateway) Panics() int64 { return g.panicGuard.Panics() }

// ClosedConnections counts the connections of callers that were closed in favor of others.
func (g *Gateway) ClosedConnections() inbound.ClosedCounts { return g.connections.Closed() }

// SetLogSampling sets Config.LogSampleOneIn of a running gateway.
func (g *Gateway) SetLogSampling(oneIn int) { g.logSampler.oneIn.Store(int64(oneIn)) }

// Drain makes each further answer announce that its connection is closed after it. New connections are still accepted.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown stops accepting connections, closes idle ones and waits for the requests in flight. It returns the error of the
// context if that ends first.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	g.listener.Drain()
	return g.connections.CloseWhenIdle(ctx)
}
