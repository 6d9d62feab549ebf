package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// drain stops accepting connections, waits for the requests in flight and stops the listeners. Requests of short
// classes are cancelled at the drain limit of the settings, if one is set. Requests of long classes always finish.
func (d *Daemon) drain() error {
	ctx := context.Background()
	d.fireLifecycle(ctx, eventStop)
	d.fireDrain(ctx, eventBegin)
	if limit := d.settings.Drain.Limit(); limit > 0 {
		timer := time.AfterFunc(limit, func() { d.fireDrain(ctx, eventLimit) })
		defer timer.Stop()
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- d.gateway.Shutdown(ctx) }()
	d.fireDrain(ctx, eventClosed)
	if err := <-shutdownErr; err != nil {
		return trace.Wrap(err, "drain")
	}
	d.fireDrain(ctx, eventIdle)
	d.fireLifecycle(ctx, eventIdle)
	d.leaveFleet(ctx)
	d.log.Info("Stopped.")
	return trace.Wrap(d.admin.Shutdown(ctx))
}
