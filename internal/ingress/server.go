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
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/routes"
)

const (
	// bodyTimeout bounds the time for receiving a request body, so that slow callers do not occupy goroutines forever.
	bodyTimeout = 30 * time.Second
	// disconnectPollInterval is the interval between checks whether a waiting caller has disconnected. Targets are allowed
	// to go on working for 500 ms after the caller left, and each check costs a wake-up of the process.
	disconnectPollInterval = 180 * time.Millisecond
	// idleGrace is how much longer than the configured idle timeout a connection is kept, so that a request that is already on
	// its way when the timeout expires is still read.
	idleGrace = time.Second
)

// defaultLimits applies before the first configuration.
var defaultLimits = routes.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second,
}

// protocolFactory implements suite.ServerFactory. It makes hertz serve connections with protocolServer.
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

// Serve implements protocol.Server. It handles the requests of one connection, which hertz closes afterwards.
func (s *protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	g := s.gateway
	tracked := g.connections.Add(ctx, conn)
	if tracked == nil {
		g.Log.Debug("Closed a new connection at the limit.", "limit", g.MaxConnections)
		return hertzerrors.ErrShortConnection
	}
	c := s.core.GetCtxPool().Get().(*app.RequestContext)
	c.SetConn(conn)
	defer func() {
		g.connections.Remove(tracked)
		c.Reset()
		s.core.GetCtxPool().Put(c)
	}()
	for inbound.AwaitRequest(conn, g.limits().IdleTimeout+idleGrace) {
		g.connections.SetBusy(tracked, true)
		if !g.serveGuarded(ctx, c, tracked) || tracked.Evicted() {
			break
		}
		_ = conn.Release()
		c.ResetWithoutConn()
		g.connections.SetBusy(tracked, false)
	}
	return hertzerrors.ErrShortConnection
}

// limits returns the configured limits, or defaultLimits before the first configuration.
func (g *Gateway) limits() routes.Limits {
	if view := g.View(); view != nil {
		return view.Table.Limits
	}
	return defaultLimits
}

// serveGuarded serves one request. A panic ends only this request and its connection. It reports whether the connection may be
// used for another one.
func (g *Gateway) serveGuarded(ctx context.Context, c *app.RequestContext, conn *inbound.Conn) (keepAlive bool) {
	call := &call{request: &c.Request, conn: conn}
	err := g.panicGuard.Call(g.Log, "request", func() error {
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
	r := &result{failure: reason.InternalError, cause: err}
	g.panicGuard.Run(g.Log, "request", func() { g.recordRefusal(call, r) })
	g.panicGuard.Run(g.Log, "request", func() {
		c.Response.Reset()
		c.Response.Header.SetConnectionClose(true)
		_ = g.sendRefusal(c, call, r)
	})
}

// serveOne reads and serves one request. It reports whether the connection may be used for another one.
func (g *Gateway) serveOne(ctx context.Context, c *app.RequestContext, call *call) bool {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	call.arrivedAt = g.Now()
	limits := g.limits()
	requestLimits := inbound.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, BodyTimeout: bodyTimeout, Conn: call.conn,
	}
	memory, refusal := requestLimits.ReadCounted(c, g.Memory)
	defer memory.Close()
	call.memory, call.id = memory, string(c.Request.Header.Peek(g.Headers.RequestID))
	if refusal != nil {
		memory.Close()
		c.Response.Header.SetConnectionClose(true)
		r := &result{failure: refusal.Reason, cause: refusal.Cause, retryAfter: notReadyRetryAfter}
		_ = g.writeRefusal(c, call, r)
		if !call.conn.Evicted() {
			inbound.Linger(ctx)
		}
		return false
	}
	call.conn.Received()
	ctx, stop := inbound.WatchDisconnect(ctx, disconnectPollInterval)
	defer stop()
	err := g.serve(ctx, c, call)
	return err == nil && !c.Response.Header.ConnectionClose()
}
