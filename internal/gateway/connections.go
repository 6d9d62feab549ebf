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
	// long is true while a request of a long class runs.
	long bool
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

func (s *connections) set(entry *callerConn, busy, long bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.busy, entry.long = busy, long
}

// closeIdle closes the connections without a request and counts the others.
func (s *connections) closeIdle() (busy, long int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for entry := range s.all {
		switch {
		case !entry.busy:
			_ = entry.conn.Close()
		case entry.long:
			long++
		}
		if entry.busy {
			busy++
		}
	}
	return busy, long
}

// Shutdown stops accepting and waits for the requests in flight. When the context ends it waits only for requests of
// long classes, which their own time limits end.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.draining.Store(true)
	closing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { _ = g.server.Shutdown(closing) }()
	_ = g.listener.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		busy, long := g.connections.closeIdle()
		if busy == 0 {
			return nil
		}
		if ctx.Err() != nil && long == 0 {
			return ctx.Err()
		}
		<-ticker.C
	}
}
