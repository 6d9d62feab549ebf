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
// concurrent use, except for Close and the silence watch.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// pending holds the bytes reserved by Malloc until Flush.
	pending  []byte
	opened   time.Time
	lastUsed time.Time

	// written is true when the kernel took a byte of the current exchange.
	written bool
	// failed is the first error of the socket. Errors of the codec leave it nil.
	failed error
	// waitingSince is when the pending Read or Write started, in nanoseconds since opened. 0 means none is pending.
	waitingSince atomic.Int64
	// probed is true while the kernel probes the peer often.
	probed atomic.Bool

	mu sync.Mutex
	// exchange describes the current exchange. Its number keeps a late finding about an earlier one from taking effect.
	exchange pending
	busy     bool
	// silent is set when the watch closed the connection.
	silent bool
	watch  *time.Timer
}

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleKeepAlive}}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *Conn {
	now := time.Now()
	c := &Conn{raw: raw, opened: now, lastUsed: now}
	c.reader = bufio.NewReaderSize(socket{c}, connBufferBytes)
	c.writer = bufio.NewWriterSize(socket{c}, writeBufferBytes)
	return c
}

// Close closes the connection and interrupts an exchange on it.
func (c *Conn) Close() error { return c.raw.Close() }

// begin starts an exchange.
func (c *Conn) begin() {
	c.written = false
	c.failed = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = pending{number: c.exchange.number + 1, opened: c.opened, proof: c.lastUsed, began: time.Now()}
	c.busy = true
}

// end finishes an exchange and reports whether the watch found the connection silent.
func (c *Conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.watch != nil {
		c.watch.Stop()
	}
	return c.silent
}

// current returns the exchange in progress.
func (c *Conn) current() (e pending, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange, c.busy
}

// rearm sets the watch again unless the exchange has ended.
func (c *Conn) rearm(exchange uint64, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && c.exchange.number == exchange {
		c.watch.Reset(after)
	}
}

// interruptSilent closes the connection unless the exchange has ended or received a byte meanwhile.
func (c *Conn) interruptSilent(exchange uint64, atLeast time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && c.exchange.number == exchange && c.silence() >= atLeast {
		c.silent = true
		_ = c.raw.Close()
	}
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
	s.c.written = s.c.written || n > 0
	s.c.record(err)
	return n, err
}

func (c *Conn) startWaiting() { c.waitingSince.Store(int64(time.Since(c.opened)) | 1) }

func (c *Conn) record(err error) {
	if err != nil && c.failed == nil {
		c.failed = err
	}
}

// silence returns how long the pending Read or Write has waited.
func (c *Conn) silence() time.Duration {
	since := c.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(c.opened) - time.Duration(since)
}
