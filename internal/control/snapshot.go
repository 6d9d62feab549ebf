package control

import (
	"sync/atomic"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/transport"
	"github.com/basillink/basillink/operator"
)

// Snapshot is the configuration used by traffic goroutines. It is immutable.
type Snapshot struct {
	// Revision is the offset of the last accepted change.
	Revision logservice.Offset
	// AppliedOffset is the offset of the last applied record.
	AppliedOffset logservice.Offset
	Services      map[string]*Service
	// Departed holds the sorted addresses of the departed targets, which receive no requests.
	Departed []string
}

// Service is the configuration and runtime state of one service. Its fields are not modified; the policy, the limiters
// and the pools are safe for concurrent use.
type Service struct {
	Spec operator.Service
	// Revision is the offset of the last accepted change of this service.
	Revision logservice.Offset
	// Targets are the targets that may receive requests. Their indexes are those used by Policy.
	Targets []*Target
	Policy  balancer.Policy
	// AllRepeatable is set if all classes are repeatable, so that no request needs a ticket.
	AllRepeatable bool
	// Admission and Retries are shared with later revisions of the service.
	Admission *admission.Limiter
	Retries   *admission.RetryBudget
	// preferredCount is the number of targets that the policy prefers.
	preferredCount int
}

// Target is a target that may receive requests.
type Target struct {
	Address string
	Zone    string
	Pool    *transport.Pool
	// departureReported is set once an event about the target's departure was queued.
	departureReported atomic.Bool
}

// Class returns the class with the given name, or the first class that matches method and path if name is empty. It
// returns nil if there is none.
func (s *Service) Class(name, method, path string) *operator.Class {
	for i := range s.Spec.Classes {
		class := &s.Spec.Classes[i]
		if name == class.Name || (name == "" && classMatches(class, method, path)) {
			return class
		}
	}
	return nil
}
