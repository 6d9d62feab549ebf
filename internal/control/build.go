package control

import (
	"slices"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/transport"
	"github.com/basillink/basillink/operator"
)

// publish builds a snapshot from the state and makes it visible to traffic.
func (l *Loop) publish() {
	previous := l.snapshot.Load()
	state := l.fold.State()
	next := &Snapshot{
		Revision: state.Revision,
		Through:  state.Through,
		Services: make(map[string]*Service, len(state.Services)),
		Departed: l.departures.addresses(),
	}
	for name, entry := range state.Services {
		targets := l.targetsInUse(&entry.Spec)
		if old := previous.service(name); old != nil && old.Revision == entry.Revision && !l.outdated(old, targets) {
			next.Services[name] = old
			continue
		}
		next.Services[name] = l.buildService(entry, targets, previous.service(name))
	}
	l.snapshot.Store(next)
	if previous == nil {
		close(l.configured)
	}
	l.closeUnusedPools(next)
	l.log.Info("Configuration is in force.", "revision", next.Revision, "services", len(next.Services))
}

func (s *Snapshot) service(name string) *Service {
	if s == nil {
		return nil
	}
	return s.Services[name]
}

func (l *Loop) buildService(entry *intent.Entry, targets []operator.Target, previous *Service) *Service {
	service := &Service{Spec: entry.Spec, Revision: entry.Revision, preferred: l.preferred(len(targets))}
	config := balancer.Config{
		Service:          entry.Spec.Name,
		Instances:        len(l.instances),
		ProbesPerRequest: entry.Spec.Measuring.ProbesPerRequest,
	}
	for _, target := range targets {
		service.Targets = append(service.Targets, &Target{
			Address: target.Address,
			Zone:    target.Zone,
			Pool:    l.pool(target.Address, &entry.Spec),
		})
		config.Targets = append(config.Targets, balancer.Target{
			Address:  target.Address,
			SameZone: target.Zone == l.zone,
			Slots:    entry.Spec.SlotsPerTarget,
		})
	}
	service.AllRepeatable = !slices.ContainsFunc(entry.Spec.Classes, func(c operator.Class) bool { return !c.Repeatable })
	service.attachLimits(previous)
	var old balancer.Policy
	if previous != nil {
		old = previous.Policy
	}
	service.Policy = l.builder.Build(config, old)
	return service
}

func (l *Loop) pool(address string, spec *operator.Service) *transport.Pool {
	pool := l.pools[address]
	if pool == nil {
		pool = transport.NewTargetPool(address, requestConnections(spec))
		l.pools[address] = pool
	}
	return pool
}

func (l *Loop) closeUnusedPools(s *Snapshot) {
	used := map[string]bool{}
	for _, service := range s.Services {
		for _, target := range service.Targets {
			used[target.Address] = true
		}
	}
	for address, pool := range l.pools {
		if !used[address] {
			pool.Close()
			delete(l.pools, address)
		}
	}
}
