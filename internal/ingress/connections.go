package ingress

import (
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/transport"
)

const (
	// ConnectionIdleTimeout closes unused connections before targets do, which is usually after 10 s.
	ConnectionIdleTimeout = 6 * time.Second
	// originUserTimeout bounds how long sent bytes may stay unacknowledged. It leaves room for two lost packets.
	tcpUserTimeout = 900 * time.Millisecond
	// spareConnections is how many connections beyond a target's slots an instance may hold.
	extraConnections = 4
	// maxOriginConnections bounds the connections to one target.
	maxTargetConnections = 64
)

// origin holds the connections to one incarnation of a target.
type targetConnections struct {
	pool    *transport.Pool
	address string
}

// origin returns the connections to a target.
func (g *Gateway) connectionsTo(service string, t *dispatch.Target) *targetConnections {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.targetConns[t.ID]; o != nil && o.address == t.Address {
		return o
	}
	o := &targetConnections{
		pool:    transport.NewOriginPool(t.Address, g.connectionLimit(service, t), ConnectionIdleTimeout, tcpUserTimeout),
		address: t.Address,
	}
	if old := g.targetConns[t.ID]; old != nil {
		old.pool.Close()
	}
	g.targetConns[t.ID] = o
	return o
}

// connectionLimit is this instance's share of the connections that a target accepts.
func (g *Gateway) connectionLimit(service string, t *dispatch.Target) int {
	limit := maxTargetConnections
	if view := g.View(); view != nil {
		if most := view.Table.Services[service].MaxConnections; most > 0 {
			limit = min(limit, most/max(view.Instances, 1))
		}
	}
	return max(2, min(limit, t.Slots()+extraConnections))
}

// CloseUnregistered closes the connections to targets that are no longer registered. Exchanges in flight finish.
func (g *Gateway) CloseUnregistered(registered func(id string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, o := range g.targetConns {
		if !registered(id) {
			o.pool.Close()
			delete(g.targetConns, id)
		}
	}
}
