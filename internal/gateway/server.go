package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/reason"
)

const (
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 2 * time.Minute
	// receiveTimeout bounds the time to receive the header of a request, and that to receive its body.
	receiveTimeout = 30 * time.Second
)

// protocolFactory makes hertz serve connections with protocolServer.
type protocolFactory struct{ gateway *Gateway }

// New implements suite.ServerFactory.
func (f *protocolFactory) New(core suite.Core) (protocol.Server, error) {
	return &protocolServer{gateway: f.gateway, core: core}, nil
}

// protocolServer serves HTTP/1 connections. It replaces the server of hertz, which answers invalid requests without the
// headers of the protocol, accepts ambiguous message framing, and terminates a failed stream like a complete one.
type protocolServer struct {
	gateway *Gateway
	core    suite.Core
}

// Serve implements protocol.Server. Hertz closes the connection when Serve returns.
func (s *protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	entry := s.gateway.connections.Add(ctx, conn)
	if entry == nil {
		s.gateway.log.Debug("Closed a new connection at the limit.", "limit", s.gateway.connections.Limit)
		return hertzerrors.ErrShortConnection
	}
	c := s.core.GetCtxPool().Get().(*app.RequestContext)
	c.SetConn(conn)
	defer func() {
		s.gateway.connections.Remove(entry)
		c.Reset()
		s.core.GetCtxPool().Put(c)
	}()
	for s.awaitRequest(conn, entry) {
		s.gateway.connections.SetBusy(entry, true)
		if !s.gateway.serveGuarded(ctx, c, entry) || entry.Evicted() {
			break
		}
		_ = conn.Release()
		c.ResetWithoutConn()
		s.gateway.connections.SetBusy(entry, false)
	}
	return hertzerrors.ErrShortConnection
}

// awaitRequest waits for the first byte of a request. It returns false if the connection must be closed.
func (s *protocolServer) awaitRequest(conn network.Conn, entry *inbound.Conn) bool {
	if s.gateway.inFlight.draining.Load() && conn.Len() == 0 && !entry.HasInput() {
		return false
	}
	return inbound.AwaitRequest(conn, callerIdleTimeout)
}

// serveGuarded receives and serves one request. A panic ends only this request and its connection. It reports whether the
// connection can be reused for another one.
func (g *Gateway) serveGuarded(ctx context.Context, c *app.RequestContext, conn *inbound.Conn) (keepAlive bool) {
	call := &call{request: &c.Request, conn: conn, lastResult: admission.Other}
	err := g.panics.Call(g.log, "request", func() error {
		keepAlive = g.serveOne(ctx, c, call)
		return nil
	})
	if err != nil {
		g.answerPanic(c, call, err)
		return false
	}
	return keepAlive
}

// answerPanic answers a request whose handling panicked, unless its answer had begun.
func (g *Gateway) answerPanic(c *app.RequestContext, call *call, err error) {
	if call.answering {
		return
	}
	r := &result{failureReason: reason.InternalError, cause: err}
	g.panics.Run(g.log, "request", func() { g.recordRefusal(call, r) })
	g.panics.Run(g.log, "request", func() {
		c.Response.Reset()
		c.Response.Header.SetConnectionClose(true)
		_ = g.sendRefusal(c, call, r)
	})
}

// serveOne receives and serves one request. It reports whether the connection can be reused for another one.
func (g *Gateway) serveOne(ctx context.Context, c *app.RequestContext, call *call) bool {
	limits := g.inbound
	limits.Conn = call.conn
	memory, refusal := limits.ReadCounted(c, g.memory)
	defer memory.Close()
	call.memory = memory
	if refusal != nil {
		memory.Close()
		c.Response.Header.SetConnectionClose(true)
		_ = g.writeResult(ctx, c, call, g.withoutUnprovenNotRun(c, &result{failureReason: refusal.Reason, cause: refusal.Cause}))
		if !call.conn.Evicted() {
			inbound.Linger(ctx)
		}
		return false
	}
	call.conn.Received()
	ctx, stop := inbound.WatchDisconnect(ctx, inbound.DisconnectPollInterval)
	defer stop()
	if g.inFlight.draining.Load() || c.Request.Header.ConnectionClose() {
		c.Response.Header.SetConnectionClose(true)
	}
	err := g.serve(ctx, c, call)
	return err == nil && !c.Response.Header.ConnectionClose()
}
