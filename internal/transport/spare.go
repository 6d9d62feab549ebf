package transport

import (
	"context"
	"time"
)

// keepSpare opens a connection in the background when the last idle one was taken. The next request then does not
// wait for a handshake, and a check of a silent connection has another connection of the same path to compare with.
// The lock is held.
func (p *Pool) keepSpare() {
	if !p.spare || p.closed || p.openingSpare || len(p.idle) > 0 || p.open >= p.limit || !p.rate.take(time.Now()) {
		return
	}
	p.openingSpare = true
	p.open++
	go p.openSpare()
}

func (p *Pool) openSpare() {
	ctx, cancel := context.WithTimeout(p.background, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	p.mu.Lock()
	p.openingSpare = false
	p.mu.Unlock()
	if err == nil {
		p.release(conn)
	}
}
