package control

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/operator"
)

// Limits of the admission queue of one service.
const (
	// maxWaiting is the maximum number of queued requests.
	maxWaiting = 256
	// maxQueueWait is half of the default timeout of a class, so that an admitted request has time left to run.
	maxQueueWait = operator.DefaultTimeoutMS / 2 * time.Millisecond
)

// connectionShare returns the number of connections that this instance may open to a target, so that max_instances
// instances together stay within connections_per_target.
func connectionShare(spec *operator.Service) int {
	return max(1, spec.ConnectionsPerTarget/spec.MaxInstances)
}

// requestConnections returns the part of connectionShare that is used for requests. If load probes are enabled, one
// connection is reserved for the prober, unless it is the only one: targets also report their load in answers, which
// need no extra connection.
func requestConnections(spec *operator.Service) int {
	share := connectionShare(spec)
	if share < 2 || !loadProbesEnabled(spec) {
		return share
	}
	return share - 1
}

// loadProbesEnabled reports whether the measuring budget of a service allows load probes.
func loadProbesEnabled(spec *operator.Service) bool {
	return spec.Measuring.ProbesPerSecond > 0 && spec.Measuring.BytesPerSecond > 0
}

// HasProbeConnection reports whether one connection to each target is reserved for load probes.
func (s *Service) HasProbeConnection() bool {
	return requestConnections(&s.Spec) < connectionShare(&s.Spec)
}

// subsetSize returns the number of targets that an instance uses. It is 0, which means all targets, unless a target
// allows fewer connections than there may be instances. In a subset, an instance opens one connection to each target,
// and one connection of each target is left free for return checks.
func subsetSize(spec *operator.Service, targets int) int {
	if spec.ConnectionsPerTarget >= spec.MaxInstances {
		return 0
	}
	connections := max(1, spec.ConnectionsPerTarget-1)
	return max(1, targets*connections/spec.MaxInstances)
}

// selectTargets returns the targets of a service to which this instance sends requests.
func (l *Loop) selectTargets(spec *operator.Service) []operator.Target {
	var available []operator.Target
	var addresses []string
	for _, target := range spec.Targets {
		if target.State != operator.TargetLeaving && !l.departures.isDeparted(target.Address) {
			available = append(available, target)
			addresses = append(addresses, target.Address)
		}
	}
	size := subsetSize(spec, len(available))
	if size == 0 {
		return available
	}
	subsetter := balancer.Subsetter{Self: l.SelfID, Instances: l.instances, MaxInstances: spec.MaxInstances}
	var subset []operator.Target
	for _, i := range subsetter.Subset(addresses, size) {
		subset = append(subset, available[i])
	}
	return subset
}

// outdated reports whether the targets or the preferred number of targets of a service changed since it was built.
func (l *Loop) outdated(s *Service, targets []operator.Target) bool {
	sameAddress := func(a *Target, b operator.Target) bool { return a.Address == b.Address }
	return s.preferredCount != l.preferredCount(len(targets)) || !slices.EqualFunc(s.Targets, targets, sameAddress)
}

// preferredCount returns the number of targets that the policy prefers out of the given number.
func (l *Loop) preferredCount(targets int) int {
	return balancer.PreferredSize(targets, len(l.instances))
}

// updateInstances publishes a snapshot if a change of the live instances affects any service.
func (l *Loop) updateInstances() {
	if l.LiveIDs == nil {
		return
	}
	// An ID is listed twice while the previous incarnation of a restarted instance is still considered live.
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
		if l.outdated(service, l.selectTargets(&service.Spec)) {
			l.publish()
			return
		}
	}
}

// attachLimits takes over the limiter and the retry budget of the previous revision, or creates them if there is none.
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
