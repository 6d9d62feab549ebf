// Package edge assembles an instance that serves routes from the platform's store, and runs it until it is stopped.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/clock"
	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/fleet"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/platform"
)

// Edge is one instance. Run is called once.
type Edge struct {
	settings *settings.Edge
	log      *slog.Logger
	store    *platform.Store
	node     *fleet.Node
	gateway  *ingress.Gateway
	ready    *readiness
}

// New assembles an instance. It opens no port.
func New(s *settings.Edge, log *slog.Logger) (*Edge, error) {
	telemetry.RouteServerLogs(telemetry.Component(log, "http"))
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e := &Edge{settings: s, log: telemetry.Component(log, "edge")}
	e.store = platform.NewStore(s.Store.Address, telemetry.Component(log, "store"))
	start, clk := time.Now(), clock.New()
	e.node = fleet.New(fleet.Config{
		Self: discovery.Member{
			ID: s.Instance.ID, Zone: s.Instance.Zone, Address: s.Listen.Peer, Started: start.UnixNano(),
			Capacity: int(s.Peer.Capacity * fleet.CapacityUnit),
		},
		Store: e.store, Seeds: seedHosts(s.Peer.Seeds), Bootstrap: s.Peer.Bootstrap, Policy: e.policy(), Prober: platform.Prober{},
		ProbeInterval: probeInterval(s), TargetHeartbeat: s.Bounds.Heartbeat(), Now: clk.Now, DetectSuspension: clk.Check,
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:              telemetry.Component(log, "fleet"),
		TargetsChanged:   func(registered func(string) bool) { e.gateway.CloseUnregistered(registered) },
		TargetTerminated: func(id string, aliveAt time.Duration, again bool) { e.gateway.TargetTerminated(id, aliveAt, again) },
		CrashMarks:       crashMarks{e},
	})
	e.gateway = ingress.New(ingress.Config{
		Address: s.Listen.Caller, Headers: platform.Headers(), View: e.node.View, Counter: metrics,
		Log: telemetry.Component(log, "ingress"), ParseLoad: platform.ParseLoad, OnMisdirected: e.node.ReportMisdirected,
		Now: clk.Now, DetectSuspension: clk.Check, LogSampleOneIn: s.Log.SampleOneIn, CrashMarks: e.node,
	})
	gauges := telemetry.Gauges{
		InFlight: e.gateway.InFlight, Ready: e.node.Ready, Dropped: e.node.DroppedEvents,
		Panics: func() int64 { return e.gateway.Panics() + e.node.Panics() },
	}
	if err := metrics.Observe(gauges); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := observeTraffic(metrics, e.node.Traffic()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := observeCrashes(metrics, e.gateway.CrashStats); err != nil {
		return nil, trace.Wrap(err)
	}
	e.ready = newReadiness(s.Listen.Readiness, e.node.Ready, metrics.Handler())
	return e, nil
}

// probeInterval is the time between two readings of a target. The platform's bound holds over all instances; one reads a
// target at a time, and for a moment two while one takes over.
func probeInterval(s *settings.Edge) time.Duration {
	interval := time.Duration(s.Probe.IntervalMS) * time.Millisecond
	if s.Bounds.ProbesPerS <= 0 {
		return interval
	}
	return max(interval, time.Duration(float64(time.Second)/(probeShare*s.Bounds.ProbesPerS)))
}

// probeShare is the part of the bound on health checks that regular readings use.
const probeShare = 0.85

// policy derives the policy of the dispatcher from the settings and the bounds of the platform.
func (e *Edge) policy() dispatch.Policy {
	p := dispatch.DefaultPolicy()
	p.UsableShare = float64(e.settings.Dispatch.UsablePercent) / 100
	p.WaitShare = float64(e.settings.Dispatch.WaitPercent) / 100
	p.CrossZoneCost = e.settings.Dispatch.ZoneCrossingPercent / 100
	p.RetryRatio = e.settings.Bounds.RetryRatio * budgetShare
	p.RetryExtra = e.settings.Bounds.RetryExtra * budgetShare
	p.RetryWindow = e.settings.Bounds.RetryWindow()
	p.ConnectionLifetime = ingress.ConnectionIdleTimeout
	return p
}

// budgetShare is the part of the platform's budget for retries that is used. Each instance spends what its own requests earn
// and its share of the rest; the reserve covers instances that are counted late.
const budgetShare = 0.9

// seedHosts returns the IP addresses of the seeds, which were validated with the settings.
func seedHosts(seeds []string) []string {
	var hosts []string
	for _, seed := range seeds {
		hosts = append(hosts, netip.MustParseAddrPort(seed).Addr().String())
	}
	return hosts
}

// Apply puts reloaded settings in force as far as they can change while the instance runs: the share of logged requests.
// The others take effect at the next start, and a log line names them.
func (e *Edge) Apply(next *settings.Edge) {
	e.gateway.SetLogSampling(next.Log.SampleOneIn)
	later := slices.DeleteFunc(ChangedKeys(e.settings, next), func(key string) bool { return key == "log.sample_one_in" })
	if len(later) > 0 {
		e.log.Warn("Settings take effect at the next start.", "keys", later)
	}
}

// Run serves until the context ends, then drains.
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
	go func() { failed <- e.ready.run() }()
	select {
	case err := <-failed:
		return trace.Wrap(err, "listener")
	case <-ctx.Done():
	}
	e.drain()
	return nil
}

func (e *Edge) open() error {
	if err := e.gateway.Open(); err != nil {
		return trace.Wrap(err, "listen.caller")
	}
	if err := e.ready.open(); err != nil {
		return trace.Wrap(err, "listen.readiness")
	}
	return trace.Wrap(e.node.Open(), "listen.peer")
}

const (
	// noticeTime is how long new connections are still accepted after the stop was announced. The platform's balancer asks
	// once a second and takes an instance out after two misses.
	noticeTime = 2500 * time.Millisecond
	// drainReserve is kept from the time that the platform grants for a stop.
	drainReserve = 400 * time.Millisecond
)

// drain announces the stop, serves what still comes, and ends within the time that the platform grants.
func (e *Edge) drain() {
	began := time.Now()
	grace := e.settings.Bounds.Grace()
	e.log.Info("Draining.", "in_flight", e.gateway.InFlight(), "grace_ms", grace.Milliseconds())
	e.ready.leave()
	e.gateway.Drain()
	time.Sleep(min(noticeTime, grace/2))
	left := grace - drainReserve - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := e.gateway.Shutdown(ctx); err != nil {
		e.log.Warn("Stopped with requests in flight.", "in_flight", e.gateway.InFlight(), "error", err)
	}
	e.log.Info("Stopped.", "after_ms", time.Since(began).Milliseconds())
}
