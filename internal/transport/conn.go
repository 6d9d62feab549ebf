// Package transport implements an HTTP/1 client with pooled connections to targets. Each connection carries one exchange
// (a request and its answer) at a time. Hertz encodes and decodes the messages. The package manages connections itself,
// so that no library retries a request implicitly and every error states whether the request may have been sent.
package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

const (
	// connBufferBytes is the size of the read buffer. It bounds the head of an answer, which must fit into the buffer.
	connBufferBytes = 16 << 10
	// writeBufferBytes is the size of the write buffer. A head with a small body fits, so that most requests are sent in
	// one segment.
	writeBufferBytes = 4 << 10
	// idleKeepAlive is the idle time before TCP keep-alive probes start, and their interval after restoreKeepAlive. It is
	// long because probes cost traffic.
	idleKeepAlive = 30 * time.Second
)

// Conn is a connection to a target. It carries one exchange at a time. It is not safe for concurrent use, except for its
// state and the silence timer.
type Conn struct {
	// state is the current state in charts/connection.toml.
	state  chart.TableMachine
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reserved is the buffer returned by the last Malloc, until its contents are written.
	reserved []byte
	// openedAt is when the connection was established. lastUsed is when the last successful exchange or check ended.
	openedAt, lastUsed time.Time

	// wroteBytes is true once the kernel has accepted at least one byte of the current exchange.
	wroteBytes atomic.Bool
	// firstSocketErr is the first socket error of the current exchange. Codec errors do not set it.
	firstSocketErr atomic.Pointer[socketFailure]
	// upload is the request of the current exchange if it is written while the answer is read, and nil otherwise.
	upload *upload
	// noReuse is true when the connection must not carry another exchange, for example because the peer answered
	// before it had read the whole request.
	noReuse bool
	// waitingSince is when the pending Read or Write started, in nanoseconds since openedAt. 0 means none is pending.
	waitingSince atomic.Int64
	// fastKeepAlive is true while keep-alive probes are sent at the short interval.
	fastKeepAlive atomic.Bool

	mu sync.Mutex
	// exchange describes the last exchange or check. Its number identifies it, so that a late result about an earlier
	// exchange is ignored.
	exchange     exchangeInfo
	silenceTimer *time.Timer
}

// dial establishes the connection. If userTimeout is positive, the connection fails once sent bytes have been
// unacknowledged for that long.
func (c *Conn) dial(ctx context.Context, address string, userTimeout time.Duration) error {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleKeepAlive}}
	if userTimeout > 0 {
		dialer.Control = userTimeoutControl(userTimeout)
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.attach(raw)
}

// attach initializes the connection with an open socket.
func (c *Conn) attach(raw net.Conn) error {
	c.raw = raw
	c.openedAt = time.Now()
	c.lastUsed = c.openedAt
	c.reader = bufio.NewReaderSize(socket{c}, connBufferBytes)
	c.writer = bufio.NewWriterSize(socket{c}, writeBufferBytes)
	return c.fire(eventOpened)
}

// begin starts an exchange (eventBegin) or a check (eventCheck).
func (c *Conn) begin(event chart.EventID) error {
	c.wroteBytes.Store(false)
	c.firstSocketErr.Store(nil)
	c.upload = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.fire(event); err != nil {
		return err
	}
	c.exchange = exchangeInfo{number: c.exchange.number + 1, connOpenedAt: c.openedAt, lastAlive: c.lastUsed, startedAt: time.Now()}
	return nil
}

// end finishes an exchange or a check with eventAnswered or eventAbort.
func (c *Conn) end(event chart.EventID) {
	_ = c.fire(event)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenceTimer != nil {
		c.silenceTimer.Stop()
	}
}

// abort aborts the exchange by closing the socket, which fails a pending Read or Write. Any goroutine may call it.
func (c *Conn) abort() {
	_ = c.fire(eventAbort)
	c.closeSocket()
}

// closeSocket closes the socket, if there is one: a connection whose dial failed has none.
func (c *Conn) closeSocket() {
	if c.raw != nil {
		_ = c.raw.Close()
	}
}

// socketFailure wraps a socket error for storage in an atomic pointer.
type socketFailure struct{ err error }

// socketErr returns the first socket error of the current exchange, or nil.
func (c *Conn) socketErr() error {
	if failure := c.firstSocketErr.Load(); failure != nil {
		return failure.err
	}
	return nil
}

// socket reads from and writes to the raw connection of a Conn. It records wait times, errors and whether bytes were
// written.
type socket struct{ c *Conn }

// Read implements io.Reader. It returns io.EOF only if the peer closed its side of the connection in order.
func (s socket) Read(p []byte) (int, error) {
	s.c.startWaiting()
	n, err := s.c.raw.Read(p)
	s.c.waitingSince.Store(0)
	// Recorded before the upload is interrupted, because its error would then look like a timeout of the target.
	s.c.recordError(err)
	if err == io.EOF && s.c.upload != nil {
		err = s.c.upload.confirmEOF()
	}
	return n, err
}

// Write implements io.Writer.
func (s socket) Write(p []byte) (int, error) {
	s.c.startWaiting()
	n, err := s.c.raw.Write(p)
	s.c.waitingSince.Store(0)
	if n > 0 {
		s.c.wroteBytes.Store(true)
	}
	s.c.recordError(err)
	return n, err
}

// startWaiting sets waitingSince to the current time. The lowest bit is set because 0 means that nothing is pending.
func (c *Conn) startWaiting() { c.waitingSince.Store(int64(time.Since(c.openedAt)) | 1) }

func (c *Conn) recordError(err error) {
	if err != nil {
		c.firstSocketErr.CompareAndSwap(nil, &socketFailure{err})
	}
}

// onFirstExchange reports whether the connection carries its first exchange.
func (c *Conn) onFirstExchange() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.number == 1
}

// waitDuration returns how long the pending Read or Write has waited, or 0 if none is pending.
func (c *Conn) waitDuration() time.Duration {
	since := c.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(c.openedAt) - time.Duration(since)
}
