package transport

import (
	"context"
	"sync"
	"time"
)

// idleLimit is how long an unused connection is kept.
const idleLimit = 60 * time.Second

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	limit   int

	mu   sync.Mutex
	idle []*Conn
	open int
}

// NewPool returns a pool that opens at most limit connections.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: limit}
}

// acquire returns an idle connection that the peer has not closed, or a new one.
func (p *Pool) acquire(ctx context.Context) (*Conn, error) {
	for {
		conn, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.openNew(ctx)
		}
		if time.Since(conn.lastUsed) < idleLimit && !conn.readable() {
			return conn, nil
		}
		p.discard(conn)
	}
}

// takeIdle returns the most recently used idle connection, or reserves room for a new one and returns nil.
func (p *Pool) takeIdle() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return conn, nil
	}
	if p.open >= p.limit {
		return nil, &LimitError{Address: p.address, Limit: p.limit}
	}
	p.open++
	return nil, nil
}

func (p *Pool) openNew(ctx context.Context) (*Conn, error) {
	conn, err := dial(ctx, p.address)
	if err != nil {
		p.forget()
		return nil, err
	}
	return conn, nil
}

func (p *Pool) release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

func (p *Pool) discard(conn *Conn) {
	_ = conn.Close()
	p.forget()
}

func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseIdle closes the connections that carry no exchange.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		p.discard(conn)
	}
}
