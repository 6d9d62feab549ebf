package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/ingress"
	"github.com/basillink/basillink/internal/registry"
)

// publishView builds a view of the current configuration, targets and number of instances, and publishes it for the
// request path. It does nothing until both the configuration and the targets are known.
func (n *Node) publishView(now time.Time) {
	if n.table == nil || !n.targetsTopic.Known {
		return
	}
	byService := map[string][]registry.Target{}
	// inUse includes the targets of evacuated zones, and byService does not.
	inUse := map[string]registry.Target{}
	usable := n.registry.Usable()
	for _, t := range usable {
		inUse[t.ID] = t
		if !n.evacuations.Contains(t.Zone) {
			byService[t.Service] = append(byService[t.Service], n.withColdness(t, now))
		}
	}
	n.setTargetsToProbe(usable)
	n.reportTerminated(inUse)
	n.keepLastSeen(inUse)
	view := &ingress.View{Table: n.table, Pools: map[string]*dispatch.Pool{}, Instances: n.instances}
	for name := range n.table.Services {
		pool := n.pools[name]
		if pool == nil {
			random := rand.New(rand.NewPCG(n.Random.Uint64(), n.Random.Uint64()))
			pool = dispatch.NewPool(n.Policy, n.Self.Zone, n.Now, random)
			pool.SendClaim, pool.Credit = n.sendClaim, n.Credit()
			n.pools[name] = pool
		}
		pool.SetWarmup(n.table.Services[name].WarmupRate, n.table.Version)
		pool.SetTargets(byService[name], n.instances, now)
		pool.SetInstances(n.instances, n.instancesConverged)
		view.Pools[name] = pool
	}
	n.updateUnroutedPools(byService, now)
	n.indexTargets(byService)
	n.view.Store(view)
	n.publishFirstConfigsAsOf(now)
	n.publishClaimTable()
	if !n.ready.Swap(true) {
		n.Log.Info("Serving.", "version", n.table.Version, "targets", len(inUse), "after_ms", now.Sub(n.started).Milliseconds())
	}
	if n.TargetsChanged != nil {
		n.TargetsChanged(func(id string) bool {
			t, used := inUse[id]
			return used && !n.evacuations.Contains(t.Zone)
		})
	}
}

// setTargetsToProbe makes this zone probe its usable targets and those whose entries are held after a departure.
func (n *Node) setTargetsToProbe(usable []registry.Target) {
	n.zoneTargets, n.zoneServices, n.zoneHeld, n.samplerSynced = nil, map[string]bool{}, map[string]bool{}, false
	n.zoneEvacuated = map[string]registry.Target{}
	add := func(t registry.Target) bool {
		if _, served := n.table.Services[t.Service]; !served || t.Zone != n.Self.Zone {
			return false
		}
		n.zoneTargets = append(n.zoneTargets, t)
		n.zoneServices[t.Service] = true
		return true
	}
	for _, t := range usable {
		if add(t) && n.evacuations.Contains(t.Zone) {
			n.zoneEvacuated[t.ID] = t
		}
	}
	for _, t := range n.registry.HeldAfterDeparture() {
		n.zoneHeld[t.ID] = add(t)
	}
}

// reportTerminated reports the targets whose processes are gone without having announced that they drain. It runs
// before the pools drop them. The targets of evacuated zones have not terminated.
func (n *Node) reportTerminated(inUse map[string]registry.Target) {
	before := n.targetsInUse
	n.targetsInUse = inUse
	if n.TargetTerminated == nil {
		return
	}
	for id, old := range before {
		current, used := inUse[id]
		if used && (current.Born == old.Born || current.Born == 0 || old.Born == 0) || !used && n.registry.WasDraining(id) {
			continue
		}
		n.TargetTerminated(id, n.lastSeen(old), used)
	}
}

// updateUnroutedPools updates the targets of services that lost their routes: requests of an earlier configuration may
// still wait in their pools.
func (n *Node) updateUnroutedPools(byService map[string][]registry.Target, now time.Time) {
	for name, pool := range n.pools {
		if _, routed := n.table.Services[name]; !routed {
			pool.SetTargets(byService[name], n.instances, now)
		}
	}
}

// indexTargets indexes the targets by the hash of their ids.
func (n *Node) indexTargets(byService map[string][]registry.Target) {
	n.targetsByHash, n.batches = map[uint32]targetRef{}, nil
	for service, targets := range byService {
		var batch *observationBatch
		pool := n.pools[service]
		if pool != nil {
			batch = &observationBatch{pool: pool}
			n.batches = append(n.batches, batch)
		}
		for _, t := range targets {
			ref := targetRef{id: t.ID, zone: t.Zone}
			if pool != nil {
				ref.target, ref.batch = pool.Target(t.ID), batch
			}
			n.targetsByHash[hashID(t.ID)] = ref
		}
	}
}

// publishInstanceCount publishes a new number of live instances. It changes often while a large fleet starts, so the
// targets are not processed again.
func (n *Node) publishInstanceCount() {
	current := n.view.Load()
	if current == nil {
		return
	}
	for _, pool := range current.Pools {
		pool.SetInstances(n.instances, n.instancesConverged)
	}
	view := *current
	view.Instances = n.instances
	n.view.Store(&view)
}
