package transport

import "time"

const (
	// DefaultSilenceAfter is how long a connection may carry no byte before it is checked.
	DefaultSilenceAfter = time.Second
	// checkTimeout bounds the answer of a live connection to a check. A connection is opened in about 1 ms and the
	// check needs no slot of the target, so 500 ms allow for a target that is briefly paused.
	checkTimeout = 500 * time.Millisecond
)

// watch starts the silence watch of an exchange.
func (p *Pool) watch(conn *Conn) {
	if p.silenceAfter <= 0 {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.watch == nil {
		conn.watch = time.AfterFunc(p.silenceAfter, func() { p.inspect(conn) })
		return
	}
	conn.watch.Reset(p.silenceAfter)
}

// inspect checks a connection whose exchange takes long. It runs on the timer's goroutine.
func (p *Pool) inspect(conn *Conn) {
	exchange, began, busy := conn.current()
	if !busy {
		return
	}
	silence := conn.silence()
	if silence < p.silenceAfter {
		conn.rearm(exchange, p.silenceAfter-silence)
		return
	}
	if p.isSilent(conn, began) {
		conn.interruptSilent(exchange, p.silenceAfter)
		p.suspectIdle(time.Now().Add(-silence))
		return
	}
	conn.rearm(exchange, p.silenceAfter)
}

// isSilent decides whether a quiet connection is dead rather than its request slow. Either the kernel reports that the
// peer stopped acknowledging, or an idle connection as old as the exchange does not answer a check; and the target
// answers on a fresh connection. A connection that alone goes silent behind a relay which acknowledges for the target
// cannot be told from a slow request; the deadline of the request ends it.
func (p *Pool) isSilent(conn *Conn, began time.Time) bool {
	if p.pathAlive(began) {
		return false
	}
	evidence := conn.peerSilent(p.silenceAfter)
	if !evidence {
		conn.askKernel()
		evidence = p.witnessSilent(began)
	}
	return evidence && p.freshAnswers()
}

// witnessSilent reports whether an idle connection that is as old as the exchange does not answer.
func (p *Pool) witnessSilent(began time.Time) bool {
	witness := p.takeWitness(began)
	return witness != nil && p.verify(witness) == signSilent
}

// takeWitness takes an idle connection that existed soon after the exchange began and has not answered since.
func (p *Pool) takeWitness(began time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, idle := range p.idle {
		if idle.opened.Before(began.Add(p.silenceAfter/2)) && idle.lastUsed.Before(began.Add(p.silenceAfter/2)) {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			return idle
		}
	}
	return nil
}

// pathAlive reports whether a check showed after the exchange began, and at most SilenceAfter ago, that connections
// of its age answer. Exchanges that are slow at the same time share one check.
func (p *Pool) pathAlive(began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAlive.After(began) && time.Since(p.lastAlive) < p.silenceAfter
}

// suspectIdle verifies the idle connections that have not answered since the path broke. They carry no request until
// they have answered. The checks run at the same time and open no connection.
func (p *Pool) suspectIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if conn.lastUsed.After(since) && conn.opened.After(since) {
			kept = append(kept, conn)
			continue
		}
		go p.verify(conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
