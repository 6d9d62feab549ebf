package gateway

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
)

const (
	// callerIdleTimeout is how long a connection of a caller is kept without a request.
	callerIdleTimeout = 2 * time.Minute
	// receiveTimeout bounds the time from the first byte of a request to its last.
	receiveTimeout = 30 * time.Second
)

// protocolFactory lets hertz serve connections with protocolServer.
type protocolFactory struct{ gateway *Gateway }

// New implements suite.ServerFactory.
func (f *protocolFactory) New(core suite.Core) (protocol.Server, error) {
	return &protocolServer{gateway: f.gateway, core: core}, nil
}

// protocolServer serves HTTP/1 connections. It stands in for the one of hertz, which answers bad input without the
// headers of the protocol, picks one meaning of an ambiguous head, and ends a failed stream like a whole one.
type protocolServer struct {
	gateway *Gateway
	core    suite.Core
}

// Serve implements protocol.Server. The server closes the connection when it returns.
func (s *protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	c := s.core.GetCtxPool().Get().(*app.RequestContext)
	c.SetConn(conn)
	entry := s.gateway.connections.Add(ctx, conn)
	defer func() {
		s.gateway.connections.Remove(entry)
		c.Reset()
		s.core.GetCtxPool().Put(c)
	}()
	for s.awaitRequest(conn, entry) {
		s.gateway.connections.SetBusy(entry, true)
		keep := false
		// A panic ends this request and its connection only.
		if !s.gateway.panics.Run(s.gateway.log, "request", func() { keep = s.gateway.serveOne(ctx, c) }) || !keep {
			break
		}
		_ = conn.Release()
		c.ResetWithoutConn()
		s.gateway.connections.SetBusy(entry, false)
	}
	return hertzerrors.ErrShortConnection
}

// awaitRequest waits for the first byte of a request.
func (s *protocolServer) awaitRequest(conn network.Conn, entry *inbound.Conn) bool {
	if s.gateway.inFlight.draining.Load() && conn.Len() == 0 && !entry.HasInput() {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(callerIdleTimeout)); err != nil {
		return false
	}
	_, err := conn.Peek(1)
	return err == nil
}

// serveOne receives and serves one request. It reports whether the connection may carry another one.
func (g *Gateway) serveOne(ctx context.Context, c *app.RequestContext) bool {
	if refusal := g.inbound.ReadRequest(c); refusal != nil {
		c.Response.Header.SetConnectionClose(true)
		_ = g.answer(ctx, c, &call{request: &c.Request}, g.limitClaim(c, refused(refusal)))
		inbound.Linger(ctx)
		return false
	}
	ctx, stop := inbound.WatchDisconnect(ctx, inbound.DisconnectPollInterval)
	defer stop()
	if g.inFlight.draining.Load() || c.Request.Header.ConnectionClose() {
		c.Response.Header.SetConnectionClose(true)
	}
	err := g.serve(ctx, c)
	return err == nil && !c.Response.Header.ConnectionClose()
}
