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

	"github.com/basillink/basillink/internal/framing"
)

// maxIdleTime is how long a connection may be idle before it is no longer used, because the server may be about to
// close it.
const maxIdleTime = 30 * time.Second

// connPool holds idle connections to one address. It is safe for concurrent use.
//
// It encodes and decodes messages with net/http but does not use http.Transport, which resends a request on its own when
// a reused connection fails.
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

// callError is an error with the cause to count it under in the report.
type callError struct {
	cause string
	err   error
}

func (e *callError) Error() string { return e.cause + ": " + e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// answer holds the status and header of an answer that was read completely.
type answer struct {
	status int
	header http.Header
	// closesConnection is true if the server closes the connection after this answer.
	closesConnection bool
}

// exchange sends the request at most once and reads the whole answer. Its errors are of type *callError. It closes the
// connection when ctx is cancelled.
func (p *connPool) exchange(ctx context.Context, request *http.Request) (*answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &callError{causeConnectFailed, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.Close() })
	ans, err := c.roundTrip(request)
	interrupted := !stop()
	if err != nil || interrupted || ans.closesConnection {
		_ = c.netConn.Close()
	} else {
		p.put(c)
	}
	if err != nil && ctx.Err() != nil {
		return nil, &callError{causeTimeout, err}
	}
	return ans, err
}

// roundTrip writes the request, reads the whole answer and discards the body.
func (c *conn) roundTrip(request *http.Request) (*answer, error) {
	if err := request.Write(c.netConn); err != nil {
		return nil, &callError{causeConnectionLost, err}
	}
	response, err := framing.ReadAnswer(c.reader, request)
	if err != nil {
		return nil, &callError{headErrorCause(err), err}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, &callError{causeAnswerTruncated, err}
	}
	c.lastUsed = time.Now()
	return &answer{response.StatusCode, response.Header, response.Close}, nil
}

// maxHeadBytes bounds the head of an answer. An instance adds some fields to those of a target, of which it takes up to 16 KiB.
const maxHeadBytes = 32 << 10

// headErrorCause returns the cause of an error of reading the head of an answer.
func headErrorCause(err error) string {
	var malformed *framing.Error
	if errors.As(err, &malformed) || errors.Is(err, bufio.ErrBufferFull) {
		return causeAnswerMalformed
	}
	return causeConnectionLost
}

// get returns an idle connection that is still open, or a new one.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if time.Since(c.lastUsed) < maxIdleTime && c.reusable() {
			return c, nil
		}
		_ = c.netConn.Close()
	}
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{netConn: netConn, reader: bufio.NewReaderSize(netConn, maxHeadBytes)}, nil
}

// popIdle removes and returns the connection that was used last, or nil if there is none.
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

// reusable reports whether the idle connection is open and no unexpected bytes have arrived on it.
func (c *conn) reusable() bool {
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
