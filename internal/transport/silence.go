package transport

import (
	"slices"
	"time"
)

const (
	// DefaultSilenceTimeout is how long a Read or Write of an exchange may wait before the connection is checked for
	// silence.
	DefaultSilenceTimeout = time.Second
	// checkTimeout bounds a check. Opening a connection takes about 1 ms and the check needs no slot of the target, so
	// that 500 ms allow for a target that is briefly paused.
	checkTimeout = 500 * time.Millisecond
)

// startSilenceTimer starts the silence timer of an exchange.
func (p *Pool) startSilenceTimer(conn *Conn) {
	if p.silenceTimeout <= 0 {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.silenceTimer == nil {
		conn.silenceTimer = time.AfterFunc(p.silenceTimeout, func() { p.checkSilence(conn) })
		return
	}
	conn.silenceTimer.Reset(p.silenceTimeout)
}

// checkSilence closes the connection if its exchange has waited for silenceTimeout and the connection is found to be dead.
// Otherwise it restarts the timer. It runs on the goroutine of the timer.
func (p *Pool) checkSilence(conn *Conn) {
	e := conn.currentExchange()
	if waited := conn.waitDuration(); waited < p.silenceTimeout {
		conn.rearmSilenceTimer(e.number, p.silenceTimeout-waited)
		return
	}
	if !conn.markSuspected(e.number) {
		return
	}
	if p.isSilent(conn, e) {
		conn.closeIfSilent(e.number, p.silenceTimeout)
		p.handleSilentConn(e.connOpenedAt, e.startedAt)
	}
	conn.rearmSilenceTimer(e.number, p.silenceTimeout)
}

// currentExchange returns the current or last exchange or check.
func (c *Conn) currentExchange() exchangeInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// markSuspected marks the exchange with the given number as suspected. It returns false if that exchange has ended.
func (c *Conn) markSuspected(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange.number == number && c.fire(eventQuiet) == nil && c.inState(stateSuspected)
}

// closeIfSilent closes the connection of a suspected exchange, unless the exchange has ended or has waited for less than
// minWait since its last byte.
func (c *Conn) closeIfSilent(number uint64, minWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.number != number || c.waitDuration() < minWait {
		return
	}
	if c.fire(eventSilent) == nil && c.inState(stateSilent) {
		c.closeSocket()
	}
}

// rearmSilenceTimer clears the suspicion and restarts the timer, unless the exchange has ended or its connection was
// closed as silent.
func (c *Conn) rearmSilenceTimer(number uint64, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.number != number {
		return
	}
	if c.inState(stateSuspected) {
		_ = c.fire(eventTrust)
	}
	if c.inState(stateExchange) {
		c.silenceTimer.Reset(after)
	}
}

// isSilent reports whether a waiting connection is dead, as opposed to its request being slow. It is dead if the kernel
// reports that the peer has stopped acknowledging, or if other connections of the same age do not answer a check, and in
// both cases only if the target answers on a new connection. A single silent connection through a relay that acknowledges
// on behalf of the target looks like a slow request and ends at the deadline of the request.
func (p *Pool) isSilent(conn *Conn, e exchangeInfo) bool {
	if conn.peerStoppedAcking(p.silenceTimeout) {
		return p.answersOnNewConn()
	}
	conn.startFastKeepAlive()
	p.mu.Lock()
	alive := p.health.provenAlive(e, time.Now(), p.silenceTimeout)
	broken := p.health.provenBroken(e)
	p.mu.Unlock()
	if alive {
		return false
	}
	return (broken || p.referenceSilent(e)) && p.answersOnNewConn()
}

// referenceSilent reports whether an idle connection that is comparable with that of the exchange does not answer a check.
func (p *Pool) referenceSilent(e exchangeInfo) bool {
	reference := p.takeReference(e)
	if reference == nil || p.verify(reference) != checkSilent {
		return false
	}
	p.handleSilentConn(reference.openedAt, e.startedAt)
	return true
}

// takeReference takes the oldest idle connection that is comparable with that of the exchange, or returns nil.
func (p *Pool) takeReference(e exchangeInfo) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := -1
	for i, idle := range p.idle {
		if isComparable(idle.openedAt, idle.lastUsed, e) && (oldest < 0 || idle.openedAt.Before(p.idle[oldest].openedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	reference := p.idle[oldest]
	p.idle = slices.Delete(p.idle, oldest, oldest+1)
	_ = reference.fire(eventDistrust)
	return reference
}

// handleSilentConn records that a connection that started to wait at waitingSince was found silent. It then checks all idle
// connections that have not been used for at least checkTimeout. They carry no request before they have answered. The
// checks run concurrently and open no connections.
func (p *Pool) handleSilentConn(openedAt, waitingSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.health.recordSilent(openedAt, waitingSince, now)
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
