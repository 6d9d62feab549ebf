package control

import (
	"time"

	"github.com/basillink/basillink/internal/admission"
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
