package control

import (
	"slices"
	"strings"

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
		departed := l.departedTargets(&entry.Spec)
		if old := previous.service(name); old != nil && old.Revision == entry.Revision && old.departed == departed {
			next.Services[name] = old
			continue
		}
		next.Services[name] = l.buildService(entry, previous.service(name))
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

func (l *Loop) buildService(entry *intent.Entry, previous *Service) *Service {
	service := &Service{Spec: entry.Spec, Revision: entry.Revision, departed: l.departedTargets(&entry.Spec)}
	config := balancer.Config{
		Service:          entry.Spec.Name,
		ProbesPerRequest: entry.Spec.Measuring.ProbesPerRequest,
		SubsetSize:       subsetSize(&entry.Spec),
	}
	for _, target := range entry.Spec.Targets {
		if target.State == operator.TargetLeaving || l.departures.contains(target.Address) {
			continue
		}
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

// subsetSize bounds the targets of an instance when a target has fewer connections than there may be instances, and
// is 0 otherwise. The subsets of instances are independent, so a quarter of the connections is left for uneven ones.
func subsetSize(spec *operator.Service) int {
	if spec.ConnectionsPerTarget >= spec.MaxInstances {
		return 0
	}
	return max(1, len(spec.Targets)*spec.ConnectionsPerTarget*3/4/spec.MaxInstances)
}

// departedTargets names the targets of a service that left without the operator's decision.
func (l *Loop) departedTargets(spec *operator.Service) string {
	var list []string
	for _, target := range spec.Targets {
		if l.departures.contains(target.Address) {
			list = append(list, target.Address)
		}
	}
	return strings.Join(list, " ")
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
