package gateway

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/settings"
)

// Open opens the caller listener. It reports an address that cannot be used, on which the server itself panics.
func (g *Gateway) Open(s *settings.Settings) error {
	listener, err := net.Listen("tcp", s.Listen.Caller)
	if err != nil {
		return trace.Wrap(err)
	}
	g.server = newServer(s, listener)
	g.server.NoRoute(g.serve)
	g.server.OnRun = append(g.server.OnRun, func(context.Context) error {
		close(g.running)
		return nil
	})
	return nil
}

func newServer(s *settings.Settings, listener net.Listener) *server.Hertz {
	return server.New(
		server.WithListener(listener),
		server.WithMaxRequestBodySize(s.Limits.MaxRequestBodyBytes),
		server.WithMaxHeaderBytes(s.Limits.MaxHeaderBytes),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithSenseClientDisconnection(true),
		server.WithUseRawPath(true),
		// The server's own default cuts requests off after 5 s. The context of Shutdown limits the wait instead.
		server.WithExitWaitTime(time.Duration(math.MaxInt64)),
	)
}

// Run serves until Shutdown. Open comes first.
func (g *Gateway) Run() error { return g.server.Run() }

// Shutdown stops accepting connections, closes the idle ones and waits until the others have answered.
func (g *Gateway) Shutdown(ctx context.Context) error {
	// The server refuses to shut down before it runs, which happens when a stop follows the start at once.
	select {
	case <-g.running:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(g.server.Shutdown(ctx))
}
