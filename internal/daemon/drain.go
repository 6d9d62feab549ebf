package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// drain stops accepting, waits for the requests in flight and stops the listeners. The limit of the settings cuts
// off requests of short classes; requests of long classes finish however long they take.
func (d *Daemon) drain() error {
	ctx := context.Background()
	d.fire(ctx, eventStop)
	d.step(ctx, eventBegin)
	if limit := d.settings.Drain.Limit(); limit > 0 {
		timer := time.AfterFunc(limit, func() { d.step(ctx, eventLimit) })
		defer timer.Stop()
	}
	idle := make(chan error, 1)
	go func() { idle <- d.gateway.Shutdown(ctx) }()
	d.step(ctx, eventClosed)
	if err := <-idle; err != nil {
		return trace.Wrap(err, "drain")
	}
	d.step(ctx, eventIdle)
	d.fire(ctx, eventIdle)
	d.leavePeers(ctx)
	d.log.Info("Stopped.")
	return trace.Wrap(d.admin.Shutdown(ctx))
}
