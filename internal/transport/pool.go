package transport

import (
	"container/list"
	"context"
	"sync"
	"time"
)

const (
	// idleLimit is how long an unused connection is kept.
	idleLimit = 60 * time.Second
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
	p := &Pool{address: address, limit: limit, rate: bucket{tokens: openBurst, last: time.Now()}}
	p.background, p.cancel = context.WithCancel(context.Background())
	return p
}

// NewTargetPool returns a pool for a target. It keeps a spare connection and looks for silent ones.
func NewTargetPool(address string, limit int) *Pool {
	p := NewPool(address, limit)
	p.silenceAfter = DefaultSilenceAfter
	p.spare = true
	return p
}

// grant is what a waiter receives: a connection, or room for a new one when conn is nil.
type grant struct {
	conn *Conn
	err  error
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
		case age >= idleLimit || conn.readable():
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

// obtain returns the most recently used idle connection, or nil with room reserved for a new one. When there is
// neither, it waits until the context ends.
func (p *Pool) obtain(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &ClosedError{p.address}
	}
	if p.waiters.Len() == 0 {
		if g, ok := p.next(); ok {
			p.mu.Unlock()
			return g.conn, g.err
		}
	}
	ready := make(chan grant, 1)
	element := p.waiters.PushBack(ready)
	p.serve()
	p.mu.Unlock()
	select {
	case g := <-ready:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, p.abandon(element, ready)
	}
}

// abandon withdraws a waiter and passes on what it was granted meanwhile.
func (p *Pool) abandon(element *list.Element, ready chan grant) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-ready:
		switch {
		case g.conn != nil:
			p.putBack(g.conn)
		case g.err == nil:
			p.open--
			p.serve()
		}
	default:
		p.waiters.Remove(element)
	}
	return &LimitError{Address: p.address, Limit: p.limit}
}

// next takes an idle connection or reserves room for a new one. The last idle connection of a target pool is kept to
// compare silent ones with, as long as a new one may be opened. The lock is held.
func (p *Pool) next() (grant, bool) {
	n := len(p.idle)
	if (n == 0 || n == 1 && p.spare) && p.open < p.limit && p.rate.take(time.Now()) {
		p.open++
		return grant{}, true
	}
	if n == 0 {
		return grant{}, false
	}
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	_ = conn.fire(eventTake)
	p.keepSpare()
	return grant{conn: conn}, true
}

// serve hands out what is available to the waiters in order. The lock is held.
func (p *Pool) serve() {
	for p.waiters.Len() > 0 {
		g, ok := p.next()
		if !ok {
			p.awaitRate()
			return
		}
		ready := p.waiters.Remove(p.waiters.Front()).(chan grant)
		ready <- g
	}
}

// awaitRate serves the waiters again when the rate allows a new connection. The lock is held.
func (p *Pool) awaitRate() {
	if p.open >= p.limit || p.refill != nil || p.closed {
		return
	}
	p.refill = time.AfterFunc(openInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refill = nil
		p.serve()
	})
}

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
	err := conn.dial(ctx, p.address)
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

// armReap closes idle connections after their time even when no request comes. The lock is held.
func (p *Pool) armReap() {
	if p.reap == nil && len(p.idle) > 0 && !p.closed {
		p.reap = time.AfterFunc(idleLimit/2, p.reapIdle)
	}
}

func (p *Pool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reap = nil
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if time.Since(conn.lastUsed) < idleLimit {
			kept = append(kept, conn)
			continue
		}
		conn.closeSocket()
		p.forget(conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.armReap()
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
		ready <- grant{err: &ClosedError{p.address}}
	}
}

func (p *Pool) stopTimers() {
	if p.reap != nil {
		p.reap.Stop()
	}
	if p.refill != nil {
		p.refill.Stop()
	}
}
