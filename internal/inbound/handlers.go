package inbound

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/basillink/basillink/internal/panicguard"
)

const (
	// handlerIdleTimeout is how long a connection to a HandlerFactory may be idle.
	handlerIdleTimeout = time.Minute
	// handlerWriteTimeout bounds the time for writing an answer.
	handlerWriteTimeout = 10 * time.Second
)

// HandlerLimits are the limits of listeners that answer short requests of operators and of the platform.
var HandlerLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 5 * time.Second}

// HandlerFactory makes hertz serve connections with ReadRequest and the handlers that are registered with the server. The
// server of hertz lets a malformed request panic in the goroutine of its connection. It implements suite.ServerFactory.
type HandlerFactory struct {
	Limits Limits
	Log    *slog.Logger
	// MaxConnections is the maximum number of connections. At the limit, those that made no progress for a second are closed for new
	// ones. 0 means no limit.
	MaxConnections int

	guard       panicguard.Guard
	connections Connections
}

// New implements suite.ServerFactory.
func (f *HandlerFactory) New(core suite.Core) (protocol.Server, error) {
	f.connections.Limit = f.MaxConnections
	return &handlerServer{factory: f, core: core}, nil
}

// Panics returns the number of requests whose handling panicked.
func (f *HandlerFactory) Panics() int64 { return f.guard.Panics() }

// ClosedConnections counts the connections that were closed at the limit.
func (f *HandlerFactory) ClosedConnections() ClosedCounts { return f.connections.Closed() }

// handlerServer serves HTTP/1 connections.
type handlerServer struct {
	factory *HandlerFactory
	core    suite.Core
}

// Serve implements protocol.Server. It handles the requests of one connection, which hertz closes afterwards.
func (s *handlerServer) Serve(ctx context.Context, conn network.Conn) error {
	connections := &s.factory.connections
	tracked := connections.Add(ctx, conn)
	if tracked == nil {
		return hertzerrors.ErrShortConnection
	}
	c := s.core.GetCtxPool().Get().(*app.RequestContext)
	c.SetConn(conn)
	defer func() {
		connections.Remove(tracked)
		c.Reset()
		s.core.GetCtxPool().Put(c)
	}()
	for AwaitRequest(conn, handlerIdleTimeout) {
		connections.SetBusy(tracked, true)
		if !s.serveOne(ctx, c, tracked) || tracked.Evicted() {
			break
		}
		_ = conn.Release()
		c.ResetWithoutConn()
		connections.SetBusy(tracked, false)
	}
	return hertzerrors.ErrShortConnection
}

// serveOne reads and answers one request. It reports whether the connection may be used for another one.
func (s *handlerServer) serveOne(ctx context.Context, c *app.RequestContext, conn *Conn) bool {
	f := s.factory
	limits := f.Limits
	limits.Conn = conn
	refusal := limits.ReadRequest(c)
	conn.Received()
	closing := refusal != nil || !c.Request.Header.IsHTTP11() || c.Request.Header.ConnectionClose() || !s.core.IsRunning()
	switch {
	case refusal != nil:
		f.Log.Debug("Refused a request.", "reason", refusal.Reason.Name, "error", refusal.Cause)
		c.String(refusal.Reason.Status, "%s\n", refusal.Reason.Error())
	case f.guard.Call(f.Log, "handler", func() error { s.core.ServeHTTP(ctx, c); return nil }) != nil:
		c.Response.Reset()
		c.String(http.StatusInternalServerError, "internal error\n")
		closing = true
	}
	if closing {
		c.Response.Header.SetConnectionClose(true)
	}
	c.Response.SkipBody = c.Request.Header.IsHead()
	conn.Answering()
	if writeHandlerAnswer(c) != nil {
		return false
	}
	if refusal != nil && !conn.Evicted() {
		Linger(ctx)
	}
	return !closing
}

func writeHandlerAnswer(c *app.RequestContext) error {
	conn := c.GetConn()
	if err := conn.SetWriteDeadline(time.Now().Add(handlerWriteTimeout)); err != nil {
		return err
	}
	if err := resp.Write(&c.Response, conn); err != nil {
		return err
	}
	return conn.Flush()
}
