package inbound

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// Conn is a connection of a caller that is tracked by Connections.
type Conn struct {
	conn network.Conn
	// socket is used to check for unread bytes. It is nil if the connection has no accessible socket.
	socket syscall.RawConn
	// busy is true from the first byte of a request to the end of its answer. It is guarded by the mutex of Connections.
	busy bool
	// seenIdle is true if the previous call of CloseIdle found the connection not busy. It is guarded by the mutex of
	// Connections.
	seenIdle bool
}

// Connections tracks the connections of callers, so that idle ones can be closed on shutdown. The zero value is ready to use. It
// is safe for concurrent use.
type Connections struct {
	mu  sync.Mutex
	all map[*Conn]struct{}
}

// Add tracks a new connection, which is idle. The context must be derived from the one that ContextWithSocket returned for its
// socket.
func (c *Connections) Add(ctx context.Context, conn network.Conn) *Conn {
	entry := &Conn{conn: conn}
	if socket, ok := ctx.Value(socketKey{}).(syscall.Conn); ok {
		entry.socket, _ = socket.SyscallConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[*Conn]struct{}{}
	}
	c.all[entry] = struct{}{}
	return entry
}

// Remove stops tracking a connection. It does not close it.
func (c *Connections) Remove(entry *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, entry)
}

// SetBusy records whether a request on the connection is being served.
func (c *Connections) SetBusy(entry *Conn, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.busy, entry.seenIdle = busy, false
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
