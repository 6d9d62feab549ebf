package load

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// idleLimit keeps the generator from using a connection that the server is about to close.
const maxIdleTime = 30 * time.Second

// connPool holds connections to one address. It is safe for concurrent use.
//
// It uses the codec of net/http without its Transport, because the Transport sends a request again by itself when
// a connection that was in use before fails.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
}

type conn struct {
	netConn  net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// callError is a failure with a cause for the report.
type callError struct {
	cause string
	err   error
}

func (e *callError) Error() string { return e.cause + ": " + e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// answer is a whole answer without its body.
type answer struct {
	status int
	header http.Header
	// last is true when the server closes the connection after this answer.
	closesConnection bool
}

// exchange sends the request once and reads the whole answer.
func (p *connPool) exchange(ctx context.Context, request *http.Request) (*answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &callError{causeConnectFailed, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.Close() })
	got, err := c.roundTrip(request)
	interrupted := !stop()
	if err != nil || interrupted || got.closesConnection {
		_ = c.netConn.Close()
	} else {
		p.put(c)
	}
	if err != nil && ctx.Err() != nil {
		return nil, &callError{causeTimeout, err}
	}
	return got, err
}

func (c *conn) roundTrip(request *http.Request) (*answer, error) {
	if err := request.Write(c.netConn); err != nil {
		return nil, &callError{causeConnectionLost, err}
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, &callError{causeConnectionLost, err}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, &callError{causeAnswerTruncated, err}
	}
	c.lastUsed = time.Now()
	return &answer{response.StatusCode, response.Header, response.Close}, nil
}

func (p *connPool) get(ctx context.Context) (*conn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if time.Since(c.lastUsed) < maxIdleTime && c.reusable() {
			return c, nil
		}
		_ = c.netConn.Close()
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{netConn: raw, reader: bufio.NewReader(raw)}, nil
}

func (p *connPool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *connPool) close() {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		_ = c.netConn.Close()
	}
}

// quiet reports whether the idle connection is open and holds no bytes that nobody asked for.
func (c *conn) reusable() bool {
	source, ok := c.netConn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
