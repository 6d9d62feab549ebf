package transport

import "time"

// idleLimit is how long an unused connection is kept unless the pool says otherwise.
const idleLimit = 60 * time.Second

// armReap closes idle connections after their time even when no request comes. The lock is held.
func (p *Pool) armReap() {
	if p.reap == nil && len(p.idle) > 0 && !p.closed {
		p.reap = time.AfterFunc(p.idleLimit/2, p.reapIdle)
	}
}

func (p *Pool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reap = nil
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if time.Since(conn.lastUsed) < p.idleLimit {
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
