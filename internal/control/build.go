package control

import (
	"slices"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/transport"
	"github.com/basillink/basillink/operator"
)

// publish builds a snapshot from the folded state and makes it visible to traffic goroutines. Unchanged services are
// taken over from the previous snapshot.
func (l *Loop) publish() {
	previous := l.snapshot.Load()
	state := l.fold.State()
	next := &Snapshot{
		Revision:      state.Revision,
		AppliedOffset: state.Through,
		Services:      make(map[string]*Service, len(state.Services)),
		Departed:      l.departures.departedAddresses(),
	}
	// Looking up every target of every service costs more than the change itself. It is needed only if the departures
	// changed, or the live instances, which determine the subset of targets that this instance uses.
	sameTargets := previous != nil && slices.Equal(previous.Departed, next.Departed) && slices.Equal(l.snapshotInstances, l.instances)
	for name, entry := range state.Services {
		old := previous.service(name)
		sameRevision := old != nil && old.Revision == entry.Revision
		if sameRevision && sameTargets {
			next.Services[name] = old
			continue
		}
		targets := l.selectTargets(&entry.Spec)
		if sameRevision && !l.outdated(old, targets) {
			next.Services[name] = old
			continue
		}
		next.Services[name] = l.buildService(entry, targets, old)
	}
	l.snapshot.Store(next)
	l.snapshotInstances = l.instances
	if previous == nil {
		close(l.configured)
	}
	l.releasePools(previous, next)
	l.log.Info("Configuration in force.", "revision", next.Revision, "services", len(next.Services))
}

// service returns the named service or nil. The snapshot may be nil.
func (s *Snapshot) service(name string) *Service {
	if s == nil {
		return nil
	}
	return s.Services[name]
}

// buildService builds a service for the given targets. Limits and the state of the policy are taken over from the
// previous revision, if any.
func (l *Loop) buildService(entry *intent.Entry, targets []operator.Target, previous *Service) *Service {
	service := &Service{Spec: entry.Spec, Revision: entry.Revision, preferredCount: l.preferredCount(len(targets))}
	config := balancer.Config{
		Service:          entry.Spec.Name,
		Instances:        len(l.instances),
		ProbesPerRequest: entry.Spec.Measuring.ProbesPerRequest,
	}
	for _, target := range targets {
		service.Targets = append(service.Targets, &Target{
			Address: target.Address,
			Zone:    target.Zone,
			Pool:    l.acquirePool(target.Address, &entry.Spec),
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

// targetPool is the connection pool of one target, which may be shared by several services.
type targetPool struct {
	*transport.Pool
	// refs is the number of service targets in the snapshot that use the pool.
	refs int
}

// acquirePool returns the pool of a target and increments its reference count.
func (l *Loop) acquirePool(address string, spec *operator.Service) *transport.Pool {
	pool := l.pools[address]
	if pool == nil {
		pool = &targetPool{Pool: transport.NewTargetPool(address, requestConnections(spec))}
		l.pools[address] = pool
	}
	pool.refs++
	return pool.Pool
}

// releasePools releases the pools of the services that are in the previous snapshot but not in the next one. Searching
// all targets instead took most of the time of a change.
func (l *Loop) releasePools(previous, next *Snapshot) {
	if previous == nil {
		return
	}
	for name, old := range previous.Services {
		if next.Services[name] == old {
			continue
		}
		for _, target := range old.Targets {
			l.releasePool(target.Address)
		}
	}
}

// releasePool decrements the reference count of a pool and closes the pool when it reaches 0.
func (l *Loop) releasePool(address string) {
	pool := l.pools[address]
	pool.refs--
	if pool.refs == 0 {
		pool.Close()
		delete(l.pools, address)
	}
}
