package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/registry"
)

// publish makes what is known the current view.
func (n *Node) publish(now time.Time) {
	if n.table == nil || !n.targets.known {
		return
	}
	byService := map[string][]registry.Target{}
	inUse := map[string]registry.Target{}
	n.zoneTargets, n.zoneServices, n.sampling = nil, map[string]bool{}, false
	for _, t := range n.registry.Usable() {
		byService[t.Service] = append(byService[t.Service], t)
		inUse[t.ID] = t
		if _, served := n.table.Services[t.Service]; served && t.Zone == n.Self.Zone {
			n.zoneTargets = append(n.zoneTargets, t)
			n.zoneServices[t.Service] = true
		}
	}
	n.noteEnded(inUse)
	view := &ingress.View{Table: n.table, Pools: map[string]*dispatch.Pool{}, Instances: n.instances}
	for name := range n.table.Services {
		pool := n.pools[name]
		if pool == nil {
			seed := rand.New(rand.NewPCG(n.Random.Uint64(), n.Random.Uint64()))
			pool = dispatch.NewPool(n.Policy, n.Self.Zone, n.Now, seed)
			pool.SendClaim = n.claim
			n.pools[name] = pool
		}
		pool.SetTargets(byService[name], n.instances, now)
		pool.SetInstances(n.instances, n.sharersKnown)
		view.Pools[name] = pool
	}
	n.updateUnrouted(byService, now)
	n.indexTargets(byService)
	n.view.Store(view)
	n.refreshClaims()
	if !n.ready.Swap(true) {
		n.Log.Info("Serving.", "version", n.table.Version, "targets", len(inUse), "after_ms", now.Sub(n.started).Milliseconds())
	}
	if n.TargetsChanged != nil {
		n.TargetsChanged(func(id string) bool { _, used := inUse[id]; return used })
	}
}

// noteEnded tells which incarnations are gone without having said that they leave, before the pools forget them.
func (n *Node) noteEnded(inUse map[string]registry.Target) {
	before := n.inUse
	n.inUse = inUse
	if n.TargetTerminated == nil {
		return
	}
	for id, old := range before {
		current, used := inUse[id]
		if used && (current.Born == old.Born || current.Born == 0 || old.Born == 0) || !used && n.registry.Drains(id) {
			continue
		}
		aliveAt := time.Duration(0)
		if pool := n.pools[old.Service]; pool != nil {
			aliveAt = pool.LastSeen(pool.Target(id))
		}
		n.TargetTerminated(id, aliveAt, used)
	}
}

// updateUnrouted tells the pools of services that lost their routes which targets there are: requests of an earlier configuration may wait
// there.
func (n *Node) updateUnrouted(byService map[string][]registry.Target, now time.Time) {
	for name, pool := range n.pools {
		if _, routed := n.table.Services[name]; !routed {
			pool.SetTargets(byService[name], n.instances, now)
		}
	}
}

// indexTargets makes targets known by the hash of their id.
func (n *Node) indexTargets(byService map[string][]registry.Target) {
	n.byHash, n.collected = map[uint32]targetRef{}, nil
	for service, targets := range byService {
		var readings *serviceReadings
		pool := n.pools[service]
		if pool != nil {
			readings = &serviceReadings{pool: pool}
			n.collected = append(n.collected, readings)
		}
		for _, t := range targets {
			ref := targetRef{id: t.ID, zone: t.Zone}
			if pool != nil {
				ref.target, ref.readings = pool.Target(t.ID), readings
			}
			n.byHash[hashID(t.ID)] = ref
		}
	}
}

// publishInstances makes the number of live instances current. It changes often while a large fleet starts, and what is known
// of the targets stays.
func (n *Node) publishInstances() {
	current := n.view.Load()
	if current == nil {
		return
	}
	for _, pool := range current.Pools {
		pool.SetInstances(n.instances, n.sharersKnown)
	}
	view := *current
	view.Instances = n.instances
	n.view.Store(&view)
}
