package control

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// returnPoll is how often the table of departed targets is looked at.
	returnPoll = 500 * time.Millisecond
	// returnInterval is the mean time between two checks of one departed target by all instances together. Checks
	// stop with the target's return or after departureLifetime.
	returnInterval = 2 * time.Second
)

// ReturnChecker asks departed targets whether they are back as a new incarnation. A departed target receives no
// requests, so that its answers cannot tell. Its fields are set before Run and belong to the goroutine in Run.
type ReturnChecker struct {
	Loop *Loop
	// Instances returns the number of live instances, which share the checks by chance.
	Instances func() int
	Random    *rand.Rand
	// Check asks one target within the measuring budget of its service.
	Check func(service *Service, address string) (incarnation string, draining, ok bool)
}

// Run checks until the context ends.
func (r *ReturnChecker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, returnPoll)
		var departed map[string]*Service
		if r.Loop.Do(ctx, func() { departed = r.Loop.departedFrom() }) != nil {
			return
		}
		for address, service := range departed {
			if r.due() {
				r.check(service, address)
			}
		}
	}
}

// due decides at random, so that the checks of all instances together keep the mean interval.
func (r *ReturnChecker) due() bool {
	chance := float64(returnPoll) / float64(returnInterval) / float64(max(1, r.Instances()))
	return r.Random.Float64() < chance
}

func (r *ReturnChecker) check(service *Service, address string) {
	incarnation, draining, ok := r.Check(service, address)
	if ok {
		r.Loop.Observe(TargetEvent{Address: address, Incarnation: incarnation, Draining: draining})
	}
}
