package transport

import (
	"container/list"
	"context"
	"time"
)

// grant is what a waiter receives: an idle connection, an error, or, if both are nil, a reservation for a new connection.
type grant struct {
	conn *Conn
	err  error
}

// takeIdleOrReserve returns the most recently used idle connection, or nil after it has reserved a new one. If neither is
// possible, it waits until the context is done and returns a *PoolExhaustedError.
func (p *Pool) takeIdleOrReserve(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &PoolClosedError{p.address}
	}
	if p.waiters.Len() == 0 {
		if g, ok := p.nextGrant(); ok {
			p.mu.Unlock()
			return g.conn, g.err
		}
	}
	ready := make(chan grant, 1)
	element := p.waiters.PushBack(ready)
	p.serveWaiters()
	p.mu.Unlock()
	select {
	case g := <-ready:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, p.cancelWait(element, ready)
	}
}

// cancelWait removes a waiter. A grant that the waiter has received in the meantime goes back to the pool.
func (p *Pool) cancelWait(element *list.Element, ready chan grant) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-ready:
		switch {
		case g.conn != nil:
			p.releaseLocked(g.conn)
		case g.err == nil:
			p.numOpen--
			p.serveWaiters()
		}
	default:
		p.waiters.Remove(element)
	}
	return &PoolExhaustedError{Address: p.address, Limit: p.maxConns}
}

// nextGrant takes an idle connection or reserves a new one. It returns false if neither is possible. A pool with a spare
// keeps its last idle connection, as long as a new one may be opened, because the silence check compares a silent
// connection with it. The caller must hold p.mu.
func (p *Pool) nextGrant() (grant, bool) {
	n := len(p.idle)
	if (n == 0 || n == 1 && p.wantSpare) && p.numOpen < p.maxConns && p.openRate.take(time.Now()) {
		p.numOpen++
		return grant{}, true
	}
	if n == 0 {
		return grant{}, false
	}
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	_ = conn.fire(eventTake)
	p.ensureSpare()
	return grant{conn: conn}, true
}

// serveWaiters hands out available connections and reservations to the waiters in order. The caller must hold p.mu.
func (p *Pool) serveWaiters() {
	for p.waiters.Len() > 0 {
		g, ok := p.nextGrant()
		if !ok {
			p.scheduleRefill()
			return
		}
		ready := p.waiters.Remove(p.waiters.Front()).(chan grant)
		ready <- g
	}
}

// scheduleRefill serves the waiters again once openRate allows a new connection. The caller must hold p.mu.
func (p *Pool) scheduleRefill() {
	if p.numOpen >= p.maxConns || p.refillTimer != nil || p.closed {
		return
	}
	p.refillTimer = time.AfterFunc(openInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refillTimer = nil
		p.serveWaiters()
	})
}
