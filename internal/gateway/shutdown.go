package gateway

import (
	"context"
	"time"
)

// drainInterval is how often a drain looks for connections that have become idle.
const drainInterval = 10 * time.Millisecond

// Shutdown stops accepting and waits for the requests in flight until the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Refuse()
	closing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = g.server.Shutdown(closing) }()
	_ = g.listener.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for g.connections.CloseIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
