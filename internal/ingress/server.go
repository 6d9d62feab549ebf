package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/routes"
)

const (
	// bodyTimeout bounds the time for a request body, so that slow senders do not hold goroutines for ever.
	bodyTimeout = 30 * time.Second
	// departureInterval is how often the connection of a waiting caller is looked at. Targets may work on for half a second
	// after a caller left; each look costs a wake-up.
	disconnectPollInterval = 180 * time.Millisecond
	// idleSlack keeps a connection a little longer than announced, so that a request that crosses the end is read.
	idleGrace = time.Second
)

// unconfigured are the limits before the first configuration.
var defaultLimits = routes.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second,
}

// protocolFactory lets hertz serve connections with protocolServer.
type protocolFactory struct{ gateway *Gateway }

// New implements suite.ServerFactory.
func (f *protocolFactory) New(core suite.Core) (protocol.Server, error) {
	return &protocolServer{gateway: f.gateway, core: core}, nil
}

// protocolServer serves HTTP/1 connections.
type protocolServer struct {
	gateway *Gateway
	core    suite.Core
}

// Serve implements protocol.Server. The server closes the connection when it returns.
func (s *protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	g := s.gateway
	c := s.core.GetCtxPool().Get().(*app.RequestContext)
	c.SetConn(conn)
	entry := g.connections.Add(ctx, conn)
	defer func() {
		g.connections.Remove(entry)
		c.Reset()
		s.core.GetCtxPool().Put(c)
	}()
	for g.awaitRequest(conn) {
		g.connections.SetBusy(entry, true)
		keep := false
		// A panic ends this request and its connection only.
		if !g.panicGuard.Run(g.Log, "request", func() { keep = g.serveOne(ctx, c) }) || !keep {
			break
		}
		_ = conn.Release()
		c.ResetWithoutConn()
		g.connections.SetBusy(entry, false)
	}
	return hertzerrors.ErrShortConnection
}

func (g *Gateway) limits() routes.Limits {
	if view := g.View(); view != nil {
		return view.Table.Limits
	}
	return defaultLimits
}

// awaitRequest waits for the first byte of a request.
func (g *Gateway) awaitRequest(conn network.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(g.limits().IdleTimeout + idleGrace)); err != nil {
		return false
	}
	_, err := conn.Peek(1)
	return err == nil
}

// serveOne receives and serves one request. It reports whether the connection may carry another one.
func (g *Gateway) serveOne(ctx context.Context, c *app.RequestContext) bool {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrived := g.Now()
	limits := g.limits()
	receiver := inbound.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: bodyTimeout,
	}
	if refusal := receiver.ReadRequest(c); refusal != nil {
		c.Response.Header.SetConnectionClose(true)
		_ = g.writeRefusal(c, &call{id: string(c.Request.Header.Peek(g.Headers.RequestID)), arrivedAt: arrived}, newRefusal(refusal))
		inbound.Linger(ctx)
		return false
	}
	ctx, stop := inbound.WatchDisconnect(ctx, disconnectPollInterval)
	defer stop()
	err := g.serve(ctx, c, arrived)
	return err == nil && !c.Response.Header.ConnectionClose()
}
