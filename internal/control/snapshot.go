package control

import (
	"sync/atomic"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/transport"
	"github.com/basillink/basillink/operator"
)

// Snapshot is the configuration that traffic goroutines use. It is immutable.
type Snapshot struct {
	// Revision is the offset of the last accepted change.
	Revision logservice.Offset
	// Through is the offset of the last folded record.
	AppliedOffset logservice.Offset
	Services      map[string]*Service
	// Departed lists the targets that receive no requests because they left.
	Departed []string
}

// Service is one service in force. It is immutable; the policy and the pools synchronize themselves.
type Service struct {
	Spec     operator.Service
	Revision logservice.Offset
	// Targets are the targets that may receive requests, in the order of the policy's indexes.
	Targets []*Target
	Policy  balancer.Policy
	// AllRepeatable is true when no class needs tickets.
	AllRepeatable bool
	// Admission and Retries outlive a revision of the service.
	Admission *admission.Limiter
	Retries   *admission.RetryBudget
	// preferred is the number of targets that the policy uses first.
	preferred int
}

// Target is one target that may receive requests.
type Target struct {
	Address string
	Zone    string
	Pool    *transport.Pool
	// reported is set when an event about the target's departure was handed to the control goroutine.
	reported atomic.Bool
}

// Class returns the first class that matches the method and path, or the named one.
func (s *Service) Class(name, method, path string) *operator.Class {
	for i := range s.Spec.Classes {
		class := &s.Spec.Classes[i]
		if name == class.Name || (name == "" && matches(class, method, path)) {
			return class
		}
	}
	return nil
}
