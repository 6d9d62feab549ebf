package transport

import (
	"container/list"
	"context"
	"sync"
	"time"
)

const (
	// openBurst and openInterval bound the rate of new connections to one address, so that the loss of all
	// connections at once is not followed by a burst of new ones.
	openBurst    = 8
	openInterval = 5 * time.Millisecond
	// dialTimeout bounds the opening of a connection that no request waits for.
	dialTimeout = time.Second
)

// Pool keeps the connections to one address. It is safe for concurrent use. Close must be called when the address is
// no longer used; exchanges in flight finish.
type Pool struct {
	address string
	limit   int
	// silenceAfter is how long a connection may carry no byte before it is checked. 0 means never.
	silenceAfter time.Duration
	// spare keeps one idle connection open while others are in use.
	spare bool
	// idleLimit is how long an unused connection is kept.
	idleLimit time.Duration
	// userTimeout bounds how long sent bytes may stay unacknowledged. 0 leaves it to the kernel.
	userTimeout time.Duration

	background context.Context
	cancel     context.CancelFunc

	mu     sync.Mutex
	closed bool
	idle   []*Conn
	// open counts the connections that exist or are being opened.
	open    int
	waiters list.List
	rate    bucket
	// refill hands out connections when the rate allows the next one.
	refill *time.Timer
	// reap closes connections that were idle for too long.
	reap *time.Timer
	// openingSpare is true while a spare connection is being opened.
	openingSpare bool
	path         pathState
}

// NewPool returns a pool that opens at most limit connections. Its exchanges may be quiet for long.
func NewPool(address string, limit int) *Pool {
	p := &Pool{address: address, limit: limit, idleLimit: idleLimit, rate: bucket{tokens: openBurst, last: time.Now()}}
	p.background, p.cancel = context.WithCancel(context.Background())
	return p
}

// NewTargetPool returns a pool for a target. It keeps a spare connection and looks for silent ones.
func NewTargetPool(address string, limit int) *Pool {
	p := NewPool(address, limit)
	p.silenceAfter = DefaultSilenceTimeout
	p.spare = true
	return p
}

// NewPoolWithTimeouts returns a pool for a server whose connections may be checked by use only: it sends nothing of its own.
// Unused connections are closed after idleLimit, and a connection whose bytes stay unacknowledged for userTimeout fails.
func NewPoolWithTimeouts(address string, limit int, idleLimit, userTimeout time.Duration) *Pool {
	p := NewPool(address, limit)
	p.idleLimit, p.userTimeout = idleLimit, userTimeout
	return p
}

// acquire returns an idle connection that the peer has not closed, or a new one. Waiters are served in order. A connection
// that was unused for maxIdle must answer a check first; 0 asks for none.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	for {
		conn, err := p.obtain(ctx)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.openNew(ctx)
		}
		age := time.Since(conn.lastUsed)
		switch {
		case age >= p.idleLimit || conn.readable():
			p.discard(conn)
		case maxIdle > 0 && age >= maxIdle:
			p.verifyBeforeUse(conn)
		default:
			return conn, nil
		}
	}
}

// verifyBeforeUse checks a connection and returns it to the pool if it is alive. When it is silent, the other idle
// connections are checked as well instead of one by one.
func (p *Pool) verifyBeforeUse(conn *Conn) {
	_ = conn.fire(eventDistrust)
	opened, lastUsed := conn.opened, conn.lastUsed
	if p.verify(conn) == signSilent {
		p.distrust(opened, lastUsed)
	}
}

// openNew opens a connection for a request, and a spare one behind it if none is left.
func (p *Pool) openNew(ctx context.Context) (*Conn, error) {
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepSpare()
	return conn, nil
}

// dial opens a connection in the room that was reserved for it, and gives the room back when that fails.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	conn := &Conn{}
	err := conn.dial(ctx, p.address, p.userTimeout)
	if err != nil {
		p.discard(conn)
		return nil, err
	}
	return conn, nil
}

// release returns a connection to the pool.
func (p *Pool) release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putBack(conn)
}

// putBack makes a connection idle. It closes one that the chart does not let back or whose pool is closed. The lock is
// held.
func (p *Pool) putBack(conn *Conn) {
	if p.closed || conn.fire(eventRelease) != nil {
		conn.closeSocket()
		p.forget(conn)
	} else {
		p.idle = append(p.idle, conn)
	}
	p.serve()
	p.armReap()
}

// discard closes a connection and offers its room to the waiters.
func (p *Pool) discard(conn *Conn) {
	conn.closeSocket()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(conn)
	p.serve()
}

// forget counts a connection as closed. The lock is held.
func (p *Pool) forget(conn *Conn) {
	if conn.fire(eventClose) == nil {
		p.open--
	}
}

// CloseIdle closes the connections that carry no exchange.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle()
}

// dropIdle closes the idle connections. The lock is held.
func (p *Pool) dropIdle() {
	for _, conn := range p.idle {
		conn.closeSocket()
		p.forget(conn)
	}
	p.idle = nil
}

// Close closes idle connections now and others after their exchange. Later exchanges fail.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
	p.stopTimers()
	for p.waiters.Len() > 0 {
		ready := p.waiters.Remove(p.waiters.Front()).(chan grant)
		ready <- grant{err: &PoolClosedError{p.address}}
	}
}

// stopTimers ends what the pool does by itself. The lock is held.
func (p *Pool) stopTimers() {
	if p.reap != nil {
		p.reap.Stop()
	}
	if p.refill != nil {
		p.refill.Stop()
	}
}

// CountIdle counts the idle connections that were opened before a time: those that are open, and those that the peer has closed.
func (p *Pool) CountIdle(before time.Time) (open, closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		switch {
		case !conn.opened.Before(before):
		case conn.readable():
			closed++
		default:
			open++
		}
	}
	return open, closed
}
