package ingress

import (
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/transport"
)

const (
	// ConnectionIdleTimeout is how long an unused connection to a target is kept. Targets usually close idle connections after
	// 10 s; closing them earlier avoids sending a request on a connection that the target is just closing.
	ConnectionIdleTimeout = 6 * time.Second
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). It allows for two lost packets.
	tcpUserTimeout = 900 * time.Millisecond
	// extraConnections is how many more connections than slots of a target an instance may open to it.
	extraConnections = 4
	// maxTargetConnections bounds the connections of this instance to one target.
	maxTargetConnections = 64
)

// targetConnections holds the connections to a target at one address.
type targetConnections struct {
	pool    *transport.Pool
	address string
}

// connectionsTo returns the connections to a target. If the target's address changed, the pool of the old address is closed.
func (g *Gateway) connectionsTo(service string, t *dispatch.Target) *targetConnections {
	g.mu.Lock()
	defer g.mu.Unlock()
	if conns := g.targetConns[t.ID]; conns != nil && conns.address == t.Address {
		return conns
	}
	conns := &targetConnections{
		pool:    transport.NewPoolWithTimeouts(t.Address, g.connectionLimit(service, t), ConnectionIdleTimeout, tcpUserTimeout),
		address: t.Address,
	}
	if old := g.targetConns[t.ID]; old != nil {
		old.pool.Close()
	}
	g.targetConns[t.ID] = conns
	return conns
}

// connectionLimit returns how many connections this instance may open to a target: at most its share of the service's
// connection limit, and at least 2.
func (g *Gateway) connectionLimit(service string, t *dispatch.Target) int {
	limit := maxTargetConnections
	if view := g.View(); view != nil {
		if total := view.Table.Services[service].MaxConnections; total > 0 {
			limit = min(limit, total/max(view.Instances, 1))
		}
	}
	return max(2, min(limit, t.Slots()+extraConnections))
}

// CloseUnregistered closes the connections to targets that are not registered any more. Exchanges in flight may finish. It is
// safe for concurrent use.
func (g *Gateway) CloseUnregistered(registered func(id string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, conns := range g.targetConns {
		if !registered(id) {
			conns.pool.Close()
			delete(g.targetConns, id)
		}
	}
}
