package control

import (
	"context"
	"time"
)

const (
	// returnPollInterval is the interval at which an instance checks whether a new slot of the schedule has begun.
	returnPollInterval = 250 * time.Millisecond
	// returnCheckInterval is the time between two checks of a departed target by all instances together. A returned
	// target should receive requests within a few seconds, of which spreading the rumor takes up to 2.4 s. Checks end
	// with the return of the target or after departureLifetime.
	returnCheckInterval = time.Second
)

// ReturnChecker checks whether departed targets have returned as a new incarnation. Departed targets receive no
// requests, so answers cannot show their return. The fields must be set before Run and are owned by the goroutine in
// Run.
type ReturnChecker struct {
	Loop *Loop
	// SelfID is the ID of this instance. LiveIDs returns the IDs of all live instances, which share the checks.
	SelfID  string
	LiveIDs func() []string
	// Check probes one target within the measuring budget of its service. ok is false if there was no usable answer.
	Check func(service *Service, address string) (incarnation string, draining, ok bool)
}

// Run performs the checks assigned to this instance until ctx is done.
func (r *ReturnChecker) Run(ctx context.Context) {
	for lastSlot := int64(0); ctx.Err() == nil; {
		sleep(ctx, returnPollInterval)
		schedule := checkSchedule{selfID: r.SelfID, liveIDs: r.LiveIDs(), slot: slotAt(time.Now())}
		if schedule.slot == lastSlot {
			continue
		}
		lastSlot = schedule.slot
		var departed map[string]*Service
		if r.Loop.Do(ctx, func() { departed = r.Loop.departedTargets() }) != nil {
			return
		}
		for address, service := range departed {
			if schedule.assigned(address) {
				r.check(service, address)
			}
		}
	}
}

// check probes one target and reports the result to the loop.
func (r *ReturnChecker) check(service *Service, address string) {
	incarnation, draining, ok := r.Check(service, address)
	if ok {
		r.Loop.Observe(TargetEvent{Address: address, Incarnation: incarnation, Draining: draining})
	}
}
