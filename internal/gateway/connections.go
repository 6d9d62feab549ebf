package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// drainInterval is how often a drain looks for connections that have become idle.
const drainInterval = 10 * time.Millisecond

// callerConn is one connection of a caller. The lock of connections guards it.
type callerConn struct {
	conn network.Conn
	// busy is true from the first byte of a request to the end of its answer.
	busy bool
}

// connections holds the connections of callers. It is safe for concurrent use.
type connections struct {
	mu  sync.Mutex
	all map[*callerConn]struct{}
}

func (s *connections) add(conn network.Conn) *callerConn {
	entry := &callerConn{conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*callerConn]struct{}{}
	}
	s.all[entry] = struct{}{}
	return entry
}

func (s *connections) remove(entry *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, entry)
}

func (s *connections) setBusy(entry *callerConn, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.busy = busy
}

// closeIdle closes the connections without a request and returns the number of the others.
func (s *connections) closeIdle() int {
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

// Shutdown stops accepting and waits for the requests in flight until the context ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Refuse()
	closing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = g.server.Shutdown(closing) }()
	_ = g.listener.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for g.connections.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
