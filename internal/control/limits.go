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

// attachLimits takes over admission and retries from the previous revision, or creates them.
func (s *Service) attachLimits(previous *Service) {
	config := admission.Config{
		MaxInFlight: max(1, connectionShare(&s.Spec)*len(s.Targets)),
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
