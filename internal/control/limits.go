package control

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/operator"
)

// Bounds of the waiting queue of one service.
const (
	maxWaiting = 256
	// maxQueueWait is half of the default timeout of a class, so that an admitted request has time left to run.
	maxQueueWait = operator.DefaultTimeoutMS / 2 * time.Millisecond
)

// connectionShare is the number of connections that this instance may open to a target, so that max_instances
// instances together stay within the target's connections.
func connectionShare(spec *operator.Service) int {
	return max(1, spec.ConnectionsPerTarget/spec.MaxInstances)
}

// requestConnections is the part of the share that carries requests. One connection of a measured service belongs to
// the prober, unless it is the only one: loads on answers need no connection of their own, requests do.
func requestConnections(spec *operator.Service) int {
	share := connectionShare(spec)
	if share < 2 || !measured(spec) {
		return share
	}
	return share - 1
}

func measured(spec *operator.Service) bool {
	return spec.Measuring.ProbesPerSecond > 0 && spec.Measuring.BytesPerSecond > 0
}

// HasProbeConnection reports whether the share of connections leaves one to each target for load probes.
func (s *Service) HasProbeConnection() bool {
	return requestConnections(&s.Spec) < connectionShare(&s.Spec)
}

// subsetSize is the number of targets of an instance when a target has fewer connections than there may be instances,
// each of which keeps one, and is 0 otherwise. One connection of each target is left for the checks whether it is back.
func subsetSize(spec *operator.Service, targets int) int {
	if spec.ConnectionsPerTarget >= spec.MaxInstances {
		return 0
	}
	connections := max(1, spec.ConnectionsPerTarget-1)
	return max(1, targets*connections/spec.MaxInstances)
}

// targetsInUse returns the targets of a service that this instance sends requests to.
func (l *Loop) targetsInUse(spec *operator.Service) []operator.Target {
	var staying []operator.Target
	var addresses []string
	for _, target := range spec.Targets {
		if target.State != operator.TargetLeaving && !l.departures.contains(target.Address) {
			staying = append(staying, target)
			addresses = append(addresses, target.Address)
		}
	}
	size := subsetSize(spec, len(staying))
	if size == 0 {
		return staying
	}
	fleet := balancer.Subsetter{Self: l.SelfID, Instances: l.instances, MaxInstances: spec.MaxInstances}
	var subset []operator.Target
	for _, i := range fleet.Subset(addresses, size) {
		subset = append(subset, staying[i])
	}
	return subset
}

// outdated reports whether a service was built for other targets, or for a fleet of another size.
func (l *Loop) outdated(s *Service, targets []operator.Target) bool {
	same := func(a *Target, b operator.Target) bool { return a.Address == b.Address }
	return s.preferred != l.preferred(len(targets)) || !slices.EqualFunc(s.Targets, targets, same)
}

func (l *Loop) preferred(targets int) int { return balancer.PreferredSize(targets, len(l.instances)) }

// followInstances rebuilds services when the list of live instances has changed what they use.
func (l *Loop) followInstances() {
	if l.LiveIDs == nil {
		return
	}
	// A restarted instance may be listed twice.
	instances := slices.Compact(slices.Sorted(slices.Values(l.LiveIDs())))
	if slices.Equal(instances, l.instances) {
		return
	}
	l.instances = instances
	snapshot := l.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, service := range snapshot.Services {
		if l.outdated(service, l.targetsInUse(&service.Spec)) {
			l.publish()
			return
		}
	}
}

// attachLimits takes over admission and retries from the previous revision, or creates them.
func (s *Service) attachLimits(previous *Service) {
	config := admission.Config{
		MaxInFlight: max(1, requestConnections(&s.Spec)*len(s.Targets)),
		MinInFlight: max(1, len(s.Targets)/2),
		MaxWaiting:  maxWaiting,
		MaxWait:     maxQueueWait,
	}
	if previous == nil {
		s.Admission = admission.NewLimiter(config)
		s.Retries = admission.NewRetryBudget()
		return
	}
	s.Admission, s.Retries = previous.Admission, previous.Retries
	s.Admission.Resize(config)
}
