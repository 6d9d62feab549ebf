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
		Revision:      state.Revision,
		AppliedOffset: state.Through,
		Services:      make(map[string]*Service, len(state.Services)),
		Departed:      l.departures.addresses(),
	}
	// Looking up every target of every service costs more than the change itself, so it is done only when the
	// departures or the instances, which share out the targets, differ.
	sameTargets := previous != nil && slices.Equal(previous.Departed, next.Departed) && slices.Equal(l.builtFor, l.instances)
	for name, entry := range state.Services {
		old := previous.service(name)
		same := old != nil && old.Revision == entry.Revision
		if same && sameTargets {
			next.Services[name] = old
			continue
		}
		targets := l.targetsInUse(&entry.Spec)
		if same && !l.outdated(old, targets) {
			next.Services[name] = old
			continue
		}
		next.Services[name] = l.buildService(entry, targets, old)
	}
	l.snapshot.Store(next)
	l.builtFor = l.instances
	if previous == nil {
		close(l.configured)
	}
	l.releasePools(previous, next)
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

// targetPool is the pool of one target.
type targetPool struct {
	*transport.Pool
	// users counts the targets of services in the snapshot that use the pool.
	users int
}

// acquirePool returns the pool of a target and counts one more user.
func (l *Loop) acquirePool(address string, spec *operator.Service) *transport.Pool {
	pool := l.pools[address]
	if pool == nil {
		pool = &targetPool{Pool: transport.NewTargetPool(address, requestConnections(spec))}
		l.pools[address] = pool
	}
	pool.users++
	return pool.Pool
}

// releasePools takes the services of the previous snapshot that are not in the next one off their pools and closes
// pools without users. Only these services are visited: a search through all targets was the largest part of a change.
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

func (l *Loop) releasePool(address string) {
	pool := l.pools[address]
	pool.users--
	if pool.users == 0 {
		pool.Close()
		delete(l.pools, address)
	}
}
