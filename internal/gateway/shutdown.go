package gateway

import (
	"context"
)

// Shutdown stops accepting and waits for the requests in flight until the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.RefuseNewRequests()
	closing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = g.server.Shutdown(closing) }()
	g.listener.Drain()
	return g.connections.CloseWhenIdle(ctx)
}
