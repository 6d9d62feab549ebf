package inbound

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// Conn is one connection of a caller. The lock of Connections guards it.
type Conn struct {
	conn network.Conn
	// busy is true from the first byte of a request to the end of its answer.
	busy bool
}

// Connections holds the connections of callers. It is safe for concurrent use.
type Connections struct {
	mu  sync.Mutex
	all map[*Conn]struct{}
}

// Add registers an open connection without a request.
func (s *Connections) Add(conn network.Conn) *Conn {
	entry := &Conn{conn: conn}
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
	entry.busy = busy
}

// closeInterval is how often CloseAll looks for connections that have become idle.
const closeInterval = 10 * time.Millisecond

// CloseAll closes each connection as soon as it carries no request. It returns an error when the context ends first.
func (s *Connections) CloseAll(ctx context.Context) error {
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

// CloseIdle closes the connections without a request and returns the number of the others.
func (s *Connections) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for entry := range s.all {
		if entry.busy {
			busy++
			continue
		}
		_ = entry.conn.Close()
	}
	return busy
}
