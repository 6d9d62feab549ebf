// Package daemon assembles the parts of an instance and runs them until it is stopped.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/admin"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/gateway"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

// Daemon is one instance.
type Daemon struct {
	settings *settings.Settings
	log      *slog.Logger
	loop     *control.Loop
	reader   *control.Reader
	gateway  *gateway.Gateway
	admin    *admin.Server
	draining atomic.Bool
}

// New assembles an instance. It opens no port.
func New(s *settings.Settings, log *slog.Logger) (*Daemon, error) {
	hlog.SetLevel(hlog.LevelError)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	builder, ok := balancer.Find(s.Balancer.Policy)
	if !ok {
		return nil, trace.Wrap(&balancer.UnknownPolicyError{Name: s.Balancer.Policy})
	}
	d := &Daemon{settings: s, log: telemetry.Component(log, "daemon")}
	d.loop = control.New(s.Instance.Zone, builder, telemetry.Component(log, "control"))
	d.reader = &control.Reader{
		Log:    platform.NewClient(s.Platform.Address),
		Loop:   d.loop,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger: telemetry.Component(log, "reader"),
	}
	d.gateway = gateway.New(s, d.loop.Snapshot, metrics, telemetry.Component(log, "gateway"))
	d.admin = admin.New(s.Listen.Admin, admin.Source{
		Instance: s.Instance.ID,
		Zone:     s.Instance.Zone,
		Snapshot: d.loop.Snapshot,
		Ready:    d.ready,
		Metrics:  metrics.Handler(),
	})
	return d, nil
}

func (d *Daemon) ready() bool { return d.loop.Snapshot() != nil && !d.draining.Load() }

// Run serves until the context ends and then drains.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go d.loop.Run(background)
	go d.reader.Run(background)
	failed := make(chan error, 2)
	go func() { failed <- d.gateway.Run() }()
	go func() { failed <- d.admin.Run() }()
	d.log.Info("Instance is starting.", "instance", d.settings.Instance.ID, "caller", d.settings.Listen.Caller)
	select {
	case err := <-failed:
		return trace.Wrap(err, "listener")
	case <-ctx.Done():
		return d.drain()
	}
}

// drain stops accepting and waits for the requests in flight.
func (d *Daemon) drain() error {
	d.draining.Store(true)
	d.log.Info("Draining.")
	ctx := context.Background()
	if limit := d.settings.Drain.DrainLimit(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	if err := d.gateway.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "drain")
	}
	d.log.Info("Stopped.")
	return trace.Wrap(d.admin.Shutdown(ctx))
}
