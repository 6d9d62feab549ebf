package transport

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// openBurst and openInterval limit the rate of new connections to one address: openBurst at once and then one every
	// openInterval, so that the loss of all connections does not cause a burst of new ones.
	openBurst    = 8
	openInterval = 5 * time.Millisecond
	// dialTimeout bounds the dial of a spare connection, for which no request waits.
	dialTimeout = time.Second
)

// Pool manages the connections to one address. It is safe for concurrent use. Close must be called when the address is
// no longer used; exchanges in flight finish.
type Pool struct {
	address  string
	maxConns int
	// silenceTimeout is how long a Read or Write of an exchange may wait before the connection is checked for silence.
	// 0 disables the check.
	silenceTimeout time.Duration
	// wantSpare is true if the pool opens a spare connection in the background when no idle one is left.
	wantSpare bool
	// idleTimeout is how long an unused connection is kept.
	idleTimeout time.Duration
	// userTimeout bounds how long sent bytes may stay unacknowledged. 0 uses the default of the kernel.
	userTimeout time.Duration

	// baseCtx is the context of checks and spare connections. Close cancels it.
	baseCtx context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	closed bool
	// idle holds the idle connections, the most recently used one last.
	idle []*Conn
	// numOpen counts the connections that are open or being opened.
	numOpen int
	// waiters holds a chan grant for each waiting request, in order of arrival.
	waiters  list.List
	openRate tokenBucket
	// refillTimer serves the waiters when openRate allows the next connection.
	refillTimer *time.Timer
	// reapTimer closes connections that were idle for too long.
	reapTimer *time.Timer
	// openingSpare is true while a spare connection is being opened.
	openingSpare bool
	health       pathHealth
}

// NewPool returns a pool of at most maxConns connections. It does not check for silent connections, so that exchanges may
// pause for long.
func NewPool(address string, maxConns int) *Pool {
	p := &Pool{address: address, maxConns: maxConns, idleTimeout: defaultIdleTimeout, openRate: tokenBucket{tokens: openBurst, last: time.Now()}}
	p.baseCtx, p.cancel = context.WithCancel(context.Background())
	return p
}

// NewTargetPool returns a pool of at most maxConns connections to a target. It keeps a spare connection and checks for
// silent connections.
func NewTargetPool(address string, maxConns int) *Pool {
	p := NewPool(address, maxConns)
	p.silenceTimeout = DefaultSilenceTimeout
	p.wantSpare = true
	return p
}

// NewPoolWithTimeouts returns a pool for a server that must receive nothing but requests: the pool sends no checks.
// Unused connections are closed after idleTimeout, and a connection whose bytes stay unacknowledged for userTimeout fails.
func NewPoolWithTimeouts(address string, maxConns int, idleTimeout, userTimeout time.Duration) *Pool {
	p := NewPool(address, maxConns)
	p.idleTimeout, p.userTimeout = idleTimeout, userTimeout
	return p
}

// acquire returns an idle connection that the peer has not closed, or a new one. Waiters are served in order. A connection
// that was idle for at least limits.CheckAfterIdle is checked first; 0 disables the check.
func (p *Pool) acquire(ctx context.Context, limits Limits) (*Conn, error) {
	for {
		conn, err := p.boundConnect(ctx, limits.ConnectTimeout, p.takeIdleOrReserve)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.boundConnect(ctx, limits.ConnectTimeout, p.openNew)
		}
		idleTime := time.Since(conn.lastUsed)
		switch {
		case idleTime >= p.idleTimeout || conn.readable():
			p.discard(conn)
		case limits.CheckAfterIdle > 0 && idleTime >= limits.CheckAfterIdle:
			p.verifyBeforeUse(conn)
		default:
			return conn, nil
		}
	}
}

// boundConnect calls obtain with a context that ends after a running time, and returns a *ConnectTimeoutError if obtain fails
// for that reason. A timeout of 0 is none.
func (p *Pool) boundConnect(ctx context.Context, timeout time.Duration, obtain func(context.Context) (*Conn, error)) (*Conn, error) {
	if timeout <= 0 {
		return obtain(ctx)
	}
	connectCtx, cancel := withRunningTimeout(ctx, timeout)
	defer cancel()
	conn, err := obtain(connectCtx)
	if err != nil && connectCtx.Err() != nil && ctx.Err() == nil {
		var exhausted *PoolExhaustedError
		return nil, &ConnectTimeoutError{Address: p.address, Limit: timeout, Waited: errors.As(err, &exhausted)}
	}
	return conn, err
}

// verifyBeforeUse checks a connection and returns it to the pool if it is alive. If it is silent, all other idle
// connections are checked at once, instead of one by one as requests take them.
func (p *Pool) verifyBeforeUse(conn *Conn) {
	_ = conn.fire(eventDistrust)
	openedAt, lastUsed := conn.openedAt, conn.lastUsed
	if p.verify(conn) == checkSilent {
		p.handleSilentConn(openedAt, lastUsed)
	}
}

// openNew opens a reserved connection for a request and then ensures that there is a spare one.
func (p *Pool) openNew(ctx context.Context) (*Conn, error) {
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ensureSpare()
	return conn, nil
}

// dial opens a connection that the caller has reserved. If that fails, the reservation is released.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	conn := &Conn{}
	err := conn.dial(ctx, p.address, p.userTimeout)
	if err != nil {
		p.discard(conn)
		return nil, err
	}
	return conn, nil
}

// release returns a connection to the pool.
func (p *Pool) release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(conn)
}

// releaseLocked returns a connection to the pool. It closes the connection instead if the pool is closed or the state
// chart refuses the release. The caller must hold p.mu.
func (p *Pool) releaseLocked(conn *Conn) {
	if p.closed || conn.fire(eventRelease) != nil {
		conn.closeSocket()
		p.markClosed(conn)
	} else {
		p.idle = append(p.idle, conn)
	}
	p.serveWaiters()
	p.scheduleReap()
}

// discard closes a connection, so that the waiters may open another one.
func (p *Pool) discard(conn *Conn) {
	conn.closeSocket()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markClosed(conn)
	p.serveWaiters()
}

// markClosed stops counting a connection as open. A second call for the same connection has no effect, because the state
// chart refuses it. The caller must hold p.mu.
func (p *Pool) markClosed(conn *Conn) {
	if conn.fire(eventClose) == nil {
		p.numOpen--
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// closeIdleLocked closes the idle connections. The caller must hold p.mu.
func (p *Pool) closeIdleLocked() {
	for _, conn := range p.idle {
		conn.closeSocket()
		p.markClosed(conn)
	}
	p.idle = nil
}

// Close closes idle connections now and the others when their exchanges end. Waiting and later exchanges fail with a
// *PoolClosedError.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
	p.stopTimers()
	for p.waiters.Len() > 0 {
		ready := p.waiters.Remove(p.waiters.Front()).(chan grant)
		ready <- grant{err: &PoolClosedError{p.address}}
	}
}

// stopTimers stops the timers of the pool. The caller must hold p.mu.
func (p *Pool) stopTimers() {
	if p.reapTimer != nil {
		p.reapTimer.Stop()
	}
	if p.refillTimer != nil {
		p.refillTimer.Stop()
	}
}

// InUse returns the number of connections that are not idle: those of exchanges and checks, and those that are being
// opened.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.numOpen - len(p.idle)
}

// CountIdle returns how many of the idle connections that were opened before the given time are open, and how many the
// peer has closed.
func (p *Pool) CountIdle(openedBefore time.Time) (open, closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		switch {
		case !conn.openedAt.Before(openedBefore):
		case conn.readable():
			closed++
		default:
			open++
		}
	}
	return open, closed
}
