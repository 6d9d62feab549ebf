package transport

import (
	"slices"
	"time"
)

const (
	// DefaultSilenceTimeout is how long a connection may carry no byte before it is checked.
	DefaultSilenceTimeout = time.Second
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
	e := conn.current()
	if silence := conn.silence(); silence < p.silenceAfter {
		conn.rearm(e.number, p.silenceAfter-silence)
		return
	}
	if !conn.suspect(e.number) {
		return
	}
	if p.isSilent(conn, e) {
		conn.cut(e.number, p.silenceAfter)
		p.distrust(e.opened, e.began)
	}
	conn.rearm(e.number, p.silenceAfter)
}

// current returns the last exchange or check.
func (c *Conn) current() pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// suspect notes that an exchange waits long. It reports false when the exchange has ended.
func (c *Conn) suspect(exchange uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.number == exchange && c.fire(eventQuiet) == nil && c.is(stateSuspected)
}

// cut closes the connection of a suspected exchange unless it has ended or received a byte meanwhile.
func (c *Conn) cut(exchange uint64, atLeast time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.number != exchange || c.silence() < atLeast {
		return
	}
	if c.fire(eventSilent) == nil && c.is(stateSilent) {
		c.closeSocket()
	}
}

// rearm sets the watch again and lifts a suspicion, unless the exchange has ended or its connection was cut.
func (c *Conn) rearm(exchange uint64, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.number != exchange {
		return
	}
	if c.is(stateSuspected) {
		_ = c.fire(eventTrust)
	}
	if c.is(stateExchange) {
		c.watch.Reset(after)
	}
}

// isSilent decides whether a quiet connection is dead rather than its request slow. Either the kernel reports that the
// peer stopped acknowledging, or other connections of the same age do not answer a check; and the target answers on a
// fresh connection. A connection that alone goes silent behind a relay which acknowledges for the target cannot be
// told from a slow request; the deadline of the request ends it.
func (p *Pool) isSilent(conn *Conn, e pending) bool {
	if conn.peerSilent(p.silenceAfter) {
		return p.freshAnswers()
	}
	conn.askKernel()
	p.mu.Lock()
	alive := p.path.alive(e, time.Now(), p.silenceAfter)
	broken := p.path.broken(e)
	p.mu.Unlock()
	if alive {
		return false
	}
	return (broken || p.witnessSilent(e)) && p.freshAnswers()
}

// witnessSilent reports whether an idle connection that is as old as the exchange does not answer.
func (p *Pool) witnessSilent(e pending) bool {
	witness := p.takeWitness(e)
	if witness == nil || p.verify(witness) != signSilent {
		return false
	}
	p.distrust(witness.opened, e.began)
	return true
}

// takeWitness takes the oldest idle connection that can witness for the exchange.
func (p *Pool) takeWitness(e pending) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, idle := range p.idle {
		if mayWitness(idle.opened, idle.lastUsed, e) && (oldest < 0 || idle.opened.Before(p.idle[oldest].opened)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	witness := p.idle[oldest]
	p.idle = slices.Delete(p.idle, oldest, oldest+1)
	_ = witness.fire(eventDistrust)
	return witness
}

// distrust records that a connection was found silent which began to wait at since, and verifies the idle connections
// that have not been used for a while. They carry no request until they have answered. The checks run at the same time
// and open no connection.
func (p *Pool) distrust(opened, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.path.noteBroken(opened, since, now)
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.lastUsed) < checkTimeout {
			kept = append(kept, conn)
			continue
		}
		_ = conn.fire(eventDistrust)
		go p.verify(conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
