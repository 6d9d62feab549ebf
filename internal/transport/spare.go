package transport

import (
	"context"
	"time"
)

// ensureSpare opens a connection in the background if no idle one is left. The next request then does not wait for a
// handshake, and the silence check has a connection of about the same age to compare with. The caller must hold p.mu.
func (p *Pool) ensureSpare() {
	if !p.wantSpare || p.closed || p.openingSpare || len(p.idle) > 0 || p.numOpen >= p.maxConns || !p.openRate.take(time.Now()) {
		return
	}
	p.openingSpare = true
	p.numOpen++
	go p.openSpare()
}

func (p *Pool) openSpare() {
	ctx, cancel := context.WithTimeout(p.baseCtx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	p.mu.Lock()
	p.openingSpare = false
	p.mu.Unlock()
	if err == nil {
		p.release(conn)
	}
}
