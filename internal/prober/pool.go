package prober

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/panicguard"
)

// idleTimeout is how long an unused connection is kept open. It is the same as in the connection pools for requests.
const idleTimeout = 60 * time.Second

// connPool holds at most one connection to each target, which is the prober's part of this instance's share of the target's
// connections. It is safe for concurrent use.
type connPool struct {
	mu sync.Mutex
	// conns is indexed by the address of the target.
	conns map[string]*probeConn
}

// probeConn is the connection to one target.
type probeConn struct {
	// conn is nil before the first use and after it was closed.
	conn net.Conn
	// inUse is true while a probe opens or uses the connection. It is guarded by connPool.mu.
	inUse bool
	// idleTimer closes the connection after idleTimeout. It is set by release and stopped by acquire.
	idleTimer *time.Timer
}

// acquire reserves the connection to a target for the caller, who must release it. The connection may not be open yet.
// It returns nil if another probe is using the connection.
func (p *connPool) acquire(address string) *probeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	switch {
	case conn == nil:
		conn = &probeConn{}
		if p.conns == nil {
			p.conns = map[string]*probeConn{}
		}
		p.conns[address] = conn
	case conn.inUse:
		return nil
	default:
		conn.idleTimer.Stop()
	}
	conn.inUse = true
	return conn
}

// release returns a connection to the pool, or removes it if it is not open.
func (p *connPool) release(address string, conn *probeConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.inUse = false
	if conn.conn == nil {
		delete(p.conns, address)
		return
	}
	conn.idleTimer = time.AfterFunc(idleTimeout, func() { p.closeIfIdle(address, conn) })
}

// closeIfIdle closes a connection unless it has been acquired again.
func (p *connPool) closeIfIdle(address string, conn *probeConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.inUse && p.conns[address] == conn {
		delete(p.conns, address)
		conn.close()
	}
}

// closeIdleConns closes all connections that are not in use.
func (p *connPool) closeIdleConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !conn.inUse {
			conn.idleTimer.Stop()
			delete(p.conns, address)
			conn.close()
		}
	}
}

// close closes the connection if it is open.
func (c *probeConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// roundTrip sends one probe and reads the answer. It opens the connection if necessary, and closes it after an error.
func (c *probeConn) roundTrip(address string) (loadReport, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return loadReport{}, trace.Wrap(err)
		}
		c.conn = conn
	}
	var report loadReport
	err := panicguard.Catch(func() (err error) {
		report, err = exchange(c.conn, address)
		return err
	})
	if err != nil {
		c.close()
	}
	return report, err
}
