package transport

import "time"

// defaultIdleTimeout is how long an unused connection is kept if the pool has no other idle timeout.
const defaultIdleTimeout = 60 * time.Second

// scheduleReap starts the timer that closes idle connections after the idle timeout even if no request comes. The caller
// must hold p.mu.
func (p *Pool) scheduleReap() {
	if p.reapTimer == nil && len(p.idle) > 0 && !p.closed {
		p.reapTimer = time.AfterFunc(p.idleTimeout/2, p.reapIdle)
	}
}

func (p *Pool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reapTimer = nil
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if time.Since(conn.lastUsed) < p.idleTimeout {
			kept = append(kept, conn)
			continue
		}
		conn.closeSocket()
		p.markClosed(conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.scheduleReap()
}
