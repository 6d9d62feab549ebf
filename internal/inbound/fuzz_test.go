package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// replayConn delivers the bytes of its reader and discards what is written.
type replayConn struct {
	net.Conn
	*bytes.Reader
}

func (c replayConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (replayConn) Write(p []byte) (int, error)      { return len(p), nil }
func (replayConn) Close() error                     { return nil }
func (replayConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (replayConn) SetDeadline(time.Time) error      { return nil }
func (replayConn) SetReadDeadline(time.Time) error  { return nil }
func (replayConn) SetWriteDeadline(time.Time) error { return nil }

// replayListener accepts the connections that are sent to it.
type replayListener struct {
	net.Listener
	conns chan net.Conn
}

func (l replayListener) Accept() (net.Conn, error) { return <-l.conns, nil }
func (replayListener) Addr() net.Addr              { return &net.TCPAddr{} }

// startReplay returns a function that calls f with the library's connection over some bytes, as for a caller.
func startReplay(f func(conn network.Conn)) func(raw []byte) {
	listener := replayListener{conns: make(chan net.Conn)}
	done := make(chan struct{})
	transporter := standard.NewTransporter(config.NewOptions([]config.Option{{F: func(o *config.Options) { o.Listener = listener }}}))
	go func() {
		_ = transporter.ListenAndServe(func(_ context.Context, conn interface{}) error {
			defer func() { done <- struct{}{} }()
			f(conn.(network.Conn))
			return nil
		})
	}()
	return func(raw []byte) {
		listener.conns <- replayConn{Reader: bytes.NewReader(raw)}
		<-done
	}
}

// fuzzLimits bounds the memory of one input.
var fuzzLimits = Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 8 << 10, HeaderTimeout: time.Second, BodyTimeout: time.Second}

// Guards against requests of callers for which the decoder panics, and against bodies beyond the limit.
func FuzzReadRequest(f *testing.F) {
	const head = "POST /p?q HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		head + "Content-Length: 2\r\n\r\nok", head + "\r\n", head + "Trailer: ,\r\n\r\n", head + "Trailer: a, ,b\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: ,,\r\n\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2;e=1\r\nok\r\n0\r\nX-Sum: 1\r\n: x\r\n\r\n",
		head + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", head + "Cookie: ;=,\r\nConnection: close, ,x\r\nContent-Type:\r\n\r\n",
		"GET http://h HTTP/1.0\n\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	var refusal *Refusal
	c := app.NewContext(0)
	replay := startReplay(func(conn network.Conn) {
		c.Reset()
		c.SetConn(conn)
		refusal = fuzzLimits.ReadRequest(c)
	})
	f.Fuzz(func(t *testing.T, raw []byte) {
		replay(raw)
		var panicked *panicguard.Error
		if refusal != nil && errors.As(refusal.Cause, &panicked) {
			t.Errorf("the decoder panicked: %v", panicked)
		}
		if refusal != nil && refusal.Reason.Outcome != reason.NotRun {
			t.Errorf("refused as %s, which does not say that the request was not run", refusal.Reason.Name)
		}
		if body := c.Request.Body(); refusal == nil && len(body) > fuzzLimits.MaxBodyBytes {
			t.Errorf("a body of %d bytes was accepted, the limit is %d", len(body), fuzzLimits.MaxBodyBytes)
		}
	})
}
