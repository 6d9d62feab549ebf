// Package edge assembles and runs an instance that serves the routes in the platform's store.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/accept"
	"github.com/basillink/basillink/internal/clock"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/fleet"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/internal/workspace"
	"github.com/basillink/basillink/platform"
)

// Edge is an instance. Run must be called only once.
type Edge struct {
	settings  *settings.Edge
	log       *slog.Logger
	store     *platform.Store
	node      *fleet.Node
	gateway   *ingress.Gateway
	readiness *readiness
	// now returns the time since the start of the process.
	now func() time.Duration
}

// New assembles an instance from its settings. It does not listen yet.
func New(s *settings.Edge, log *slog.Logger) (*Edge, error) {
	telemetry.RedirectServerLogs(telemetry.Component(log, "http"))
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e := &Edge{settings: s, log: telemetry.Component(log, "edge")}
	e.store = platform.NewStore(s.Store.Address, telemetry.Component(log, "store"))
	startedAt, clk := time.Now(), clock.New()
	e.now = clk.Now
	e.node = fleet.New(fleet.Config{
		Self: discovery.Member{
			ID: s.Instance.ID, Zone: s.Instance.Zone, Address: s.Listen.Peer, Started: startedAt.UnixNano(),
			Capacity: int(s.Peer.Capacity * fleet.CapacityUnit),
		},
		Store: e.store, Seeds: seedHosts(s.Peer.Seeds), Bootstrap: s.Peer.Bootstrap, Policy: e.policy(), Prober: platform.Prober{},
		ProbeInterval: probeInterval(s), TargetHeartbeat: s.Bounds.HeartbeatInterval(), Now: clk.Now, DetectSuspension: clk.Detector(),
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:            telemetry.Component(log, "fleet"),
		TargetsChanged: func(registered func(string) bool) { e.gateway.CloseUnregistered(registered) },
		TargetTerminated: func(id string, lastSeen time.Duration, restarted bool) {
			e.gateway.TargetTerminated(id, lastSeen, restarted)
		},
		CrashMarks:   crashMarks{e},
		CreditBounds: creditBounds(&s.Bounds),
	})
	keys := workspace.Freshness{AsOf: e.node.ConfigsAsOf, Validity: workspace.Validity(s.Bounds.RevocationTime())}
	e.gateway = ingress.New(ingress.Config{
		Address: s.Listen.Caller, Headers: platform.Headers(), View: e.node.View, Counter: metrics,
		Log: telemetry.Component(log, "ingress"), ParseLoad: platform.ParseLoad, ParseWarmup: platform.ParseWarmup, OnMisdirected: e.node.ReportMisdirected,
		Now: clk.Now, DetectSuspension: clk.DetectSuspension, LogSampleOneIn: s.Log.SampleOneIn, CrashMarks: e.node,
		Memory: membudget.New(s.Memory.RequestBytes()), MaxConnections: s.Listen.ConnectionLimit(s.Memory),
		Keys: keys, Credit: e.node.Credit(),
	})
	gauges := telemetry.Observables{
		InFlight: e.gateway.InFlight, Ready: e.node.Ready, DroppedEvents: e.node.DroppedEvents,
		Panics: func() int64 {
			return e.gateway.Panics() + e.node.Panics() + e.readiness.requests.Panics() + panicguard.Caught()
		},
		RequestBytes: e.gateway.Memory.Used, EvacuatedZones: e.node.Traffic().EvacuatedZones,
		ColdTargets: e.node.ColdTargets, AcceptErrors: accept.TemporaryErrors,
	}
	if err := metrics.RegisterObservables(gauges); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := observeTraffic(metrics, e.node.Traffic(), e.store); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := observeCredit(metrics, e.node.CreditStats); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := metrics.RegisterClosedConnections(e.gateway.ClosedConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := metrics.RegisterClosedPeerConnections(e.node.ClosedPeerConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := observeCrashes(metrics, e.gateway.CrashStats); err != nil {
		return nil, trace.Wrap(err)
	}
	e.readiness = newReadiness(s.Listen, func() bool { return e.node.Ready() && e.gateway.ServesKeys() }, metrics.Handler(), e.log)
	if err := metrics.RegisterClosedOperatorConnections(e.readiness.requests.ClosedConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	return e, nil
}

// probeInterval returns the interval between two load probes of a target. The platform's limit on probes per second applies to
// all instances together. Only one instance probes a target, except for a short time while another one takes over.
func probeInterval(s *settings.Edge) time.Duration {
	interval := time.Duration(s.Probe.IntervalMS) * time.Millisecond
	if s.Bounds.ProbesPerS <= 0 {
		return interval
	}
	return max(interval, time.Duration(float64(time.Second)/(probeShare*s.Bounds.ProbesPerS)))
}

// probeShare is the fraction of the platform's limit on health checks that periodic load probes use.
const probeShare = 0.85

// policy returns the policy of the dispatcher according to the settings and the limits of the platform.
func (e *Edge) policy() dispatch.Policy {
	p := dispatch.DefaultPolicy()
	p.UsableShare = float64(e.settings.Dispatch.UsablePercent) / 100
	p.WaitShare = float64(e.settings.Dispatch.WaitPercent) / 100
	p.CrossZoneCost = e.settings.Dispatch.ZoneCrossingPercent / 100
	p.RetryRatio = e.settings.Bounds.RetryRatio * retryBudgetShare
	p.RetryExtra = e.settings.Bounds.RetryExtra * retryBudgetShare
	p.RetryWindow = e.settings.Bounds.RetryWindow()
	p.ConnectionLifetime = ingress.ConnectionIdleTimeout
	return p
}

// retryBudgetShare is the fraction of the platform's retry budget that is used. Each instance may spend the budget that its own
// requests earn and its share of the fixed part. The unused rest covers the time until all instances count a new one.
const retryBudgetShare = 0.9

// seedHosts returns the IP addresses of the seeds. It panics if one is invalid, which the validation of the settings rules out.
func seedHosts(seeds []string) []string {
	var hosts []string
	for _, seed := range seeds {
		hosts = append(hosts, netip.MustParseAddrPort(seed).Addr().String())
	}
	return hosts
}

// Apply applies reloaded settings to the running instance. Only log.sample_one_in can be changed at run time; the keys of other
// changed settings are logged, and take effect at the next start. It is safe for concurrent use.
func (e *Edge) Apply(next *settings.Edge) {
	e.gateway.SetLogSampling(next.Log.SampleOneIn)
	deferred := slices.DeleteFunc(ChangedKeys(e.settings, next), func(key string) bool { return key == "log.sample_one_in" })
	if len(deferred) > 0 {
		e.log.Warn("Changed settings take effect at the next start.", "keys", deferred)
	}
}

// Run serves until the context ends, then drains and returns nil. It returns an error if a listener cannot be opened or fails.
func (e *Edge) Run(ctx context.Context) error {
	if err := e.open(); err != nil {
		return err
	}
	e.log.Info("Started.", "instance", e.settings.Instance.ID, "zone", e.settings.Instance.Zone,
		"caller", e.settings.Listen.Caller, "peer", e.settings.Listen.Peer)
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	failed := make(chan error, 2)
	go e.node.Run(nodeCtx)
	go func() { failed <- e.gateway.Run() }()
	go func() { failed <- e.readiness.run() }()
	select {
	case err := <-failed:
		return trace.Wrap(err, "listener")
	case <-ctx.Done():
	}
	e.drain()
	return nil
}

// open opens the listeners. Its errors name the setting of the address.
func (e *Edge) open() error {
	if err := e.gateway.Open(); err != nil {
		return trace.Wrap(err, "listen.caller")
	}
	if err := e.readiness.open(); err != nil {
		return trace.Wrap(err, "listen.readiness")
	}
	return trace.Wrap(e.node.Open(), "listen.peer")
}

const (
	// drainNotice is how long new connections are still accepted after the readiness check began to fail. The platform's
	// balancer checks once per second and removes an instance after two failures.
	drainNotice = 2500 * time.Millisecond
	// drainReserve is the part of the platform's grace period that is left for the termination of the process after the drain.
	drainReserve = 400 * time.Millisecond
)

// drain makes the readiness check fail, keeps serving for drainNotice or half of the grace period, whichever is shorter, and then
// waits for the requests in flight, at most until drainReserve before the end of the grace period.
func (e *Edge) drain() {
	startedAt := time.Now()
	grace := e.settings.Bounds.GracePeriod()
	e.log.Info("Draining.", "in_flight", e.gateway.InFlight(), "grace_ms", grace.Milliseconds())
	e.readiness.startDraining()
	e.gateway.DrainUntil(e.now() + grace - drainReserve)
	time.Sleep(min(drainNotice, grace/2))
	remaining := grace - drainReserve - time.Since(startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	if err := e.gateway.Shutdown(ctx); err != nil {
		e.log.Warn("Stopped with requests in flight.", "in_flight", e.gateway.InFlight(), "error", err)
	}
	e.log.Info("Stopped.", "after_ms", time.Since(startedAt).Milliseconds())
}
