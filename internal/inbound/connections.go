package inbound

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// Conn is one connection of a caller. The lock of Connections guards it.
type Conn struct {
	conn network.Conn
	// socket tells whether bytes wait to be read. It is nil where that is not known.
	socket syscall.RawConn
	// busy is true from the first byte of a request to the end of its answer.
	busy bool
	// seenIdle is true once CloseIdle found the connection idle.
	seenIdle bool
}

// Connections holds the connections of callers. It is safe for concurrent use.
type Connections struct {
	mu  sync.Mutex
	all map[*Conn]struct{}
}

// Add registers an open connection without a request. The context is that of its socket.
func (s *Connections) Add(ctx context.Context, conn network.Conn) *Conn {
	entry := &Conn{conn: conn}
	if socket, ok := ctx.Value(socketKey{}).(syscall.Conn); ok {
		entry.socket, _ = socket.SyscallConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*Conn]struct{}{}
	}
	s.all[entry] = struct{}{}
	return entry
}

// Remove forgets a connection.
func (s *Connections) Remove(entry *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, entry)
}

// SetBusy records whether a request of the connection is being served.
func (s *Connections) SetBusy(entry *Conn, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.busy, entry.seenIdle = busy, false
}

// closeInterval is how often CloseWhenIdle looks for connections that have become idle.
const closeInterval = 10 * time.Millisecond

// CloseWhenIdle closes each connection as soon as it carries no request. It returns an error when the context ends first.
func (s *Connections) CloseWhenIdle(ctx context.Context) error {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for s.CloseIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// HasInput reports whether bytes have arrived that were not read from the socket yet.
func (c *Conn) HasInput() bool {
	if c.socket == nil {
		return false
	}
	arrived := false
	err := c.socket.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = peekErr == nil && n > 0
	})
	return err == nil && arrived
}

// CloseIdle closes the connections without a request and returns the number of those that are left. A connection is closed
// when it was idle in two calls in a row and no byte has arrived: its goroutine may just have read a request, or be about to.
func (s *Connections) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for entry := range s.all {
		if !entry.busy && !entry.HasInput() && entry.seenIdle {
			_ = entry.conn.Close()
			continue
		}
		entry.seenIdle = !entry.busy
		left++
	}
	return left
}
