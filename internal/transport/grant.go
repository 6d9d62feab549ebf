package transport

import (
	"container/list"
	"context"
	"time"
)

// grant is what a waiter receives: a connection, or room for a new one when conn is nil.
type grant struct {
	conn *Conn
	err  error
}

// obtain returns the most recently used idle connection, or nil with room reserved for a new one. When there is
// neither, it waits until the context ends.
func (p *Pool) obtain(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &PoolClosedError{p.address}
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
	return &PoolExhaustedError{Address: p.address, Limit: p.limit}
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
