// Package transport opens connections to targets and runs one exchange at a time
// on each of them. Messages are encoded and decoded by hertz; connections are
// handled here, so that no library repeats a request by itself and every failure
// says whether the request may have been sent.
package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

const (
	// connBufferBytes bounds the head of an answer, which is read from one buffer.
	connBufferBytes = 16 << 10
	// writeBufferBytes holds the head and a small body, so that most requests leave in one segment.
	writeBufferBytes = 4 << 10
	// idleKeepAlive keeps the kernel's probes on idle connections rare, because they cost traffic.
	idleKeepAlive = 30 * time.Second
)

// Conn is one connection. It carries one exchange at a time and is not safe for
// concurrent use, except for its state and the silence watch.
type Conn struct {
	// state follows charts/connection.toml.
	state  chart.TableMachine
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reserved holds the bytes that Malloc handed out until they are written.
	reserved []byte
	// opened is when the connection was established, lastUsed when an exchange or a check on it last ended cleanly.
	opened, lastUsed time.Time

	// written is true when the kernel took a byte of the current exchange.
	written atomic.Bool
	// failure is the first error of the socket. Errors of the codec leave it nil.
	failure atomic.Pointer[socketFailure]
	// spoiled is true when the connection must not carry another exchange, for example because the peer answered
	// before it had read the whole request.
	spoiled bool
	// waitingSince is when the pending Read or Write started, in nanoseconds since opened. 0 means none is pending.
	waitingSince atomic.Int64
	// probed is true while the kernel probes the peer often.
	probed atomic.Bool

	mu sync.Mutex
	// exchange describes the last exchange or check. Its number keeps a late finding about an earlier one from taking
	// effect.
	exchange pending
	watch    *time.Timer
}

// dial establishes the connection.
func (c *Conn) dial(ctx context.Context, address string, userTimeout time.Duration) error {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleKeepAlive}}
	if userTimeout > 0 {
		dialer.Control = boundUnacknowledged(userTimeout)
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.attach(raw)
}

// attach makes an open socket the connection's own.
func (c *Conn) attach(raw net.Conn) error {
	c.raw = raw
	c.opened = time.Now()
	c.lastUsed = c.opened
	c.reader = bufio.NewReaderSize(socket{c}, connBufferBytes)
	c.writer = bufio.NewWriterSize(socket{c}, writeBufferBytes)
	return c.fire(eventOpened)
}

// begin starts an exchange by eventBegin or a check by eventCheck.
func (c *Conn) begin(event chart.EventID) error {
	c.written.Store(false)
	c.failure.Store(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.fire(event); err != nil {
		return err
	}
	c.exchange = pending{number: c.exchange.number + 1, opened: c.opened, proof: c.lastUsed, began: time.Now()}
	return nil
}

// end finishes an exchange or a check by eventAnswered or eventAbort.
func (c *Conn) end(event chart.EventID) {
	_ = c.fire(event)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil {
		c.watch.Stop()
	}
}

// interrupt ends an exchange from another goroutine, which fails its pending Read or Write.
func (c *Conn) interrupt() {
	_ = c.fire(eventAbort)
	c.closeSocket()
}

// closeSocket closes the socket. A connection that could not be dialed has none.
func (c *Conn) closeSocket() {
	if c.raw != nil {
		_ = c.raw.Close()
	}
}

// socketFailure is an error of a socket.
type socketFailure struct{ err error }

// failed returns the first error of the socket, or nil.
func (c *Conn) failed() error {
	if failure := c.failure.Load(); failure != nil {
		return failure.err
	}
	return nil
}

// socket records what happens on the raw connection of a Conn.
type socket struct{ c *Conn }

// Read implements io.Reader.
func (s socket) Read(p []byte) (int, error) {
	s.c.startWaiting()
	n, err := s.c.raw.Read(p)
	s.c.waitingSince.Store(0)
	s.c.record(err)
	return n, err
}

// Write implements io.Writer.
func (s socket) Write(p []byte) (int, error) {
	s.c.startWaiting()
	n, err := s.c.raw.Write(p)
	s.c.waitingSince.Store(0)
	if n > 0 {
		s.c.written.Store(true)
	}
	s.c.record(err)
	return n, err
}

func (c *Conn) startWaiting() { c.waitingSince.Store(int64(time.Since(c.opened)) | 1) }

func (c *Conn) record(err error) {
	if err != nil {
		c.failure.CompareAndSwap(nil, &socketFailure{err})
	}
}

// fresh reports whether the connection carries its first exchange.
func (c *Conn) fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.number == 1
}

// silence returns how long the pending Read or Write has waited.
func (c *Conn) silence() time.Duration {
	since := c.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(c.opened) - time.Duration(since)
}
