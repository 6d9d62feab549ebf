// Package daemon builds the components of an instance and runs them until the instance is stopped.
package daemon

import (
	"context"
	"log/slog"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/accept"
	"github.com/basillink/basillink/internal/admin"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/gateway"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/peer"
	"github.com/basillink/basillink/internal/prober"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

// Daemon is one instance. Run must be called at most once.
type Daemon struct {
	settings       *settings.Settings
	log            *slog.Logger
	lifecycleChart *chart.Machine
	drainChart     *chart.Machine
	loop           *control.Loop
	logReader      *control.LogReader
	// incarnation is a random number that identifies this process to peers and in tickets.
	incarnation   uint64
	node          *peer.Node
	listWatcher   *control.ListWatcher
	returnChecker *control.ReturnChecker
	checkpointer  *control.Checkpointer
	gateway       *gateway.Gateway
	prober        *prober.Prober
	admin         *admin.Server
}

// New builds an instance from its settings. It opens no listener.
func New(s *settings.Settings, log *slog.Logger) (*Daemon, error) {
	telemetry.RedirectServerLogs(telemetry.Component(log, "http"))
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	builder, ok := balancer.Find(s.Balancer.Policy)
	if !ok {
		return nil, trace.Wrap(&balancer.UnknownPolicyError{Name: s.Balancer.Policy})
	}
	d := &Daemon{settings: s, log: telemetry.Component(log, "daemon")}
	builder = balancer.ForInstance(builder, s.Instance.ID)
	d.loop = control.New(s.Instance.Zone, builder, telemetry.Component(log, "control"))
	if err := d.startCharts(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.setUpControlPlane(log); err != nil {
		return nil, trace.Wrap(err)
	}
	d.gateway = gateway.New(s, d.loop.Snapshot, metrics, telemetry.Component(log, "gateway"))
	d.prober = prober.New(d.gateway.Now)
	d.gateway.ObserveRequest = d.prober.OnRequest
	d.gateway.ObserveDraining = d.loop.ObserveDraining
	d.connectGatewayToPeers()
	if err := metrics.RegisterObservables(d.observables()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := metrics.RegisterClosedConnections(d.gateway.ClosedConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := metrics.RegisterClosedPeerConnections(d.node.ClosedConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	d.admin = admin.New(s.Listen.Admin, s.Listen.MaxAdminConnections, admin.Source{
		Instance: s.Instance.ID,
		Zone:     s.Instance.Zone,
		State:    func() string { return string(d.lifecycleChart.State()) },
		InFlight: d.gateway.InFlight,
		Snapshot: d.loop.Snapshot,
		Members:  d.memberCounts,

		Configuration: d.loop.State,
		Ready:         d.ready,
		Metrics:       metrics.Handler(),
	}, telemetry.Component(log, "admin"))
	if err := metrics.RegisterClosedOperatorConnections(d.admin.ClosedConnections); err != nil {
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Daemon) observables() telemetry.Observables {
	return telemetry.Observables{
		InFlight:      d.gateway.InFlight,
		RequestBytes:  d.gateway.RequestBytes,
		Panics:        func() int64 { return d.gateway.Panics() + d.loop.Panics() + d.admin.Panics() + panicguard.Caught() },
		AcceptErrors:  accept.TemporaryErrors,
		Ready:         d.ready,
		DroppedEvents: func() int64 { return int64(d.loop.DroppedEvents() + d.node.DroppedRumors()) },

		ProbesSent:    func() int64 { return int64(d.prober.Counts().Sent) },
		ProbesFailed:  func() int64 { return int64(d.prober.Counts().Failed) },
		ProbesDropped: func() int64 { return int64(d.prober.Counts().Dropped) },

		RefusedTransitions: func() int64 { return int64(chart.RefusedTransitions()) },

		Revision: func() int64 {
			if snapshot := d.loop.Snapshot(); snapshot != nil {
				return int64(snapshot.Revision)
			}
			return 0
		},
	}
}

// Run opens the listeners, serves until ctx is cancelled and then drains. It returns an error when a listener
// cannot be opened or fails while serving, or when the drain fails.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.openListeners(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go d.loop.Run(background)
	go d.prober.Run(background)
	d.runControlPlane(background)
	listenerErrors := make(chan error, 3)
	go func() { listenerErrors <- d.node.Serve() }()
	go func() { listenerErrors <- d.gateway.Run() }()
	go func() { listenerErrors <- d.admin.Run() }()
	d.log.Info("Instance is starting.", "instance", d.settings.Instance.ID,
		"caller", d.settings.Listen.Caller, "admin", d.settings.Listen.Admin)
	return d.handleEvents(ctx, listenerErrors)
}

// handleEvents sends events to the lifecycle chart until the instance is stopped or a listener fails.
func (d *Daemon) handleEvents(ctx context.Context, listenerErrors <-chan error) error {
	configured := d.loop.Configured()
	for {
		select {
		case <-configured:
			configured = nil
			d.fireLifecycle(ctx, eventConfigured)
		case err := <-listenerErrors:
			d.fireLifecycle(ctx, eventFailed)
			return trace.Wrap(err, "listener")
		case <-ctx.Done():
			return d.drain()
		}
	}
}

// openListeners opens all listeners before any goroutine starts, so that an address in use fails early. It returns
// a *ListenError.
func (d *Daemon) openListeners() error {
	if err := d.gateway.Open(); err != nil {
		return &ListenError{Key: "listen.caller", Address: d.settings.Listen.Caller, Err: err}
	}
	if err := d.admin.Listen(); err != nil {
		return &ListenError{Key: "listen.admin", Address: d.settings.Listen.Admin, Err: err}
	}
	if err := d.node.Listen(); err != nil {
		return &ListenError{Key: "listen.peer", Address: d.settings.Listen.Peer, Err: err}
	}
	return nil
}
