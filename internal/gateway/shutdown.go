package gateway

import (
	"context"
)

// Shutdown stops accepting connections and requests, and waits until the requests in flight have finished or the context
// ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.RefuseNewRequests()
	serverCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = g.server.Shutdown(serverCtx) }()
	g.listener.Drain()
	return g.connections.CloseWhenIdle(ctx)
}
