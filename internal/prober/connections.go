package prober

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// idleLimit is how long an unused connection is kept, as in the pools of connections for requests.
const idleLimit = 60 * time.Second

// connections has at most one connection to each target, which is the prober's part of the instance's share. It is
// safe for concurrent use.
type connections struct {
	mu      sync.Mutex
	targets map[string]*connection
}

// connection is the connection to one target.
type connection struct {
	// conn is nil before the first use.
	conn net.Conn
	// busy is true while a probe uses the connection or opens it.
	busy bool
	// reap closes the connection when it was idle for too long, nil while it is busy.
	reap *time.Timer
}

// reserve takes the connection to a target, or the room for one. It returns nil while another probe has it.
func (c *connections) reserve(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.targets[address]
	switch {
	case taken == nil:
		taken = &connection{}
		if c.targets == nil {
			c.targets = map[string]*connection{}
		}
		c.targets[address] = taken
	case taken.busy:
		return nil
	default:
		taken.reap.Stop()
	}
	taken.busy = true
	return taken
}

// free gives a reserved connection back. One that was never opened or is closed makes room for a new one.
func (c *connections) free(address string, taken *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken.busy = false
	if taken.conn == nil {
		delete(c.targets, address)
		return
	}
	taken.reap = time.AfterFunc(idleLimit, func() { c.closeIdle(address, taken) })
}

// closeIdle closes a connection unless it was reserved meanwhile.
func (c *connections) closeIdle(address string, idle *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !idle.busy && c.targets[address] == idle {
		delete(c.targets, address)
		idle.close()
	}
}

// closeAll closes the idle connections.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.targets {
		if !idle.busy {
			idle.reap.Stop()
			delete(c.targets, address)
			idle.close()
		}
	}
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// ask sends one probe and reads the answer. The connection is kept only after a whole answer.
func (c *connection) ask(address string) (loadReport, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return loadReport{}, trace.Wrap(err)
		}
		c.conn = conn
	}
	report, err := exchange(c.conn, address)
	if err != nil {
		c.close()
	}
	return report, err
}
