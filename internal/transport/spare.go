package transport

import (
	"context"
	"time"
)

// keepSpare opens a connection in the background when the last idle one was taken. The next request then does not
// wait for a handshake, and a check of a silent connection has another connection of the same path to compare with.
// The lock is held.
func (p *Pool) keepSpare() {
	if !p.spare || p.closed || p.opening || len(p.idle) > 0 || p.open >= p.limit || !p.rate.take(time.Now()) {
		return
	}
	p.opening = true
	p.open++
	go p.openSpare()
}

func (p *Pool) openSpare() {
	ctx, cancel := context.WithTimeout(p.background, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, p.address)
	p.mu.Lock()
	p.opening = false
	p.mu.Unlock()
	if err != nil {
		p.forget()
		return
	}
	p.release(conn)
}
