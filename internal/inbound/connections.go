package inbound

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// phase says what happens on a connection.
type phase int32

const (
	// unused is a connection on which no request has begun yet.
	unused phase = iota
	// idle is a connection between two requests.
	idle
	// receiving is a connection whose request is being read.
	receiving
	// serving is a connection whose request has been read, and whose answer or its next part is awaited from the target.
	serving
	// answering is a connection to which an answer or a part of it is being written.
	answering
)

// Conn is a connection of a caller that is tracked by Connections. The methods of a nil Conn do nothing.
type Conn struct {
	conn  network.Conn
	owner *Connections
	// socket is used to check for unread bytes. It is nil if the connection has no accessible socket.
	socket syscall.RawConn
	// busy is true from the first byte of a request to the end of its answer. It is guarded by the mutex of Connections.
	busy bool
	// seenIdle is true if the previous call of CloseIdle found the connection not busy. It is guarded by the mutex of
	// Connections.
	seenIdle bool
	// phase holds a phase.
	phase atomic.Int32
	// progressAt is the time of the last progress in the phase, in nanoseconds since Connections.epoch.
	progressAt atomic.Int64
	// evicted is true once the connection is being closed in favor of others.
	evicted atomic.Bool
}

// Connections tracks the connections of callers, so that idle ones can be closed on shutdown and those without progress when others
// need their memory or descriptors. The zero value is ready to use. It is safe for concurrent use.
type Connections struct {
	// Limit is the maximum number of connections. It must be set before the first connection. 0 means no limit.
	Limit int

	mu    sync.Mutex
	all   map[*Conn]struct{}
	epoch time.Time
	// leaving is the number of tracked connections that are evicted.
	leaving atomic.Int64
	counts  ClosedCounts
	scans   scanTimes
	// moreForMemory is true if the last look for memory left connections without progress.
	moreForMemory bool
}

// Add tracks a new connection, on which no request has begun. At the limit it makes room by closing connections without progress;
// it returns nil if there is none, and the connection must then be closed. The context must be derived from the one that
// ContextWithSocket returned for its socket.
func (c *Connections) Add(ctx context.Context, conn network.Conn) *Conn {
	entry := &Conn{conn: conn, owner: c}
	if socket, ok := ctx.Value(socketKey{}).(syscall.Conn); ok {
		entry.socket, _ = socket.SyscallConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all, c.epoch = map[*Conn]struct{}{}, time.Now()
	}
	if c.full() {
		c.evictForLimit()
	}
	if c.full() {
		c.counts.Refused++
		return nil
	}
	entry.setPhase(unused)
	c.all[entry] = struct{}{}
	return entry
}

// Remove stops tracking a connection. It does not close it.
func (c *Connections) Remove(entry *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, entry)
	if entry.evicted.Load() {
		c.leaving.Add(-1)
	}
}

// SetBusy records whether a request on the connection is being served. It begins with being received.
func (c *Connections) SetBusy(entry *Conn, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.busy, entry.seenIdle = busy, false
	if busy {
		entry.setPhase(receiving)
	} else {
		entry.setPhase(idle)
	}
}

// closeInterval is the interval at which CloseWhenIdle closes idle connections.
const closeInterval = 10 * time.Millisecond

// CloseWhenIdle closes each connection as soon as no request is in flight on it, and returns when all are closed. It returns the
// error of the context if that ends first.
func (c *Connections) CloseWhenIdle(ctx context.Context) error {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for c.CloseIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// HasInput reports whether the socket holds unread bytes. It does not block.
func (c *Conn) HasInput() bool {
	if c.socket == nil {
		return false
	}
	hasInput := false
	err := c.socket.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasInput = peekErr == nil && n > 0
	})
	return err == nil && hasInput
}

// CloseIdle closes idle connections and returns the number of remaining ones. A connection is closed only if it was not busy in
// two consecutive calls and has no unread bytes, because its goroutine may have read the first bytes of a request without having
// called SetBusy yet.
func (c *Connections) CloseIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := 0
	for entry := range c.all {
		if !entry.busy && !entry.HasInput() && entry.seenIdle {
			_ = entry.conn.Close()
			continue
		}
		entry.seenIdle = !entry.busy
		remaining++
	}
	return remaining
}
