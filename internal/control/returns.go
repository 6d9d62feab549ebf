package control

import (
	"context"
	"time"
)

const (
	// returnPoll is how often the table of departed targets is looked at.
	returnPoll = 250 * time.Millisecond
	// returnInterval is the time between two checks of one departed target by all instances together. Users expect
	// requests at a returned target within a few seconds, of which rumors take up to 2.4 s. Checks stop with the
	// target's return or after departureLifetime.
	returnInterval = time.Second
)

// ReturnChecker asks departed targets whether they are back as a new incarnation. A departed target receives no
// requests, so that its answers cannot tell. Its fields are set before Run and belong to the goroutine in Run.
type ReturnChecker struct {
	Loop *Loop
	// Self is the id of this instance, and Members returns those of all live ones, which take turns.
	SelfID  string
	LiveIDs func() []string
	// Check asks one target within the measuring budget of its service.
	Check func(service *Service, address string) (incarnation string, draining, ok bool)
}

// Run checks until the context ends.
func (r *ReturnChecker) Run(ctx context.Context) {
	for last := int64(0); ctx.Err() == nil; {
		sleep(ctx, returnPoll)
		turn := turns{self: r.SelfID, members: r.LiveIDs(), slot: slotAt(time.Now())}
		if turn.slot == last {
			continue
		}
		last = turn.slot
		var departed map[string]*Service
		if r.Loop.Do(ctx, func() { departed = r.Loop.departedFrom() }) != nil {
			return
		}
		for address, service := range departed {
			if turn.due(address) {
				r.check(service, address)
			}
		}
	}
}

func (r *ReturnChecker) check(service *Service, address string) {
	incarnation, draining, ok := r.Check(service, address)
	if ok {
		r.Loop.Observe(TargetEvent{Address: address, Incarnation: incarnation, Draining: draining})
	}
}
