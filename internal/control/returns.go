package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/transport"
)

const (
	// returnPoll is how often the table of departed targets is looked at.
	returnPoll = 500 * time.Millisecond
	// returnInterval is the mean time between two checks of one departed target by all instances together. Checks
	// stop with the target's return or after departureLifetime.
	returnInterval = 2 * time.Second
	returnTimeout  = time.Second
	maxReturnBytes = 64 << 10
)

// ReturnChecker asks departed targets whether they are back as a new incarnation. A departed target receives no
// requests, so that its answers cannot tell. Its fields are set before Run and belong to the goroutine in Run.
type ReturnChecker struct {
	Loop *Loop
	// Instances returns the number of live instances, which share the checks by chance.
	Instances func() int
	Random    *rand.Rand
}

// Run checks until the context ends.
func (r *ReturnChecker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, returnPoll)
		var departed []string
		if r.Loop.Do(ctx, func() { departed = r.Loop.Departed() }) != nil {
			return
		}
		for _, address := range departed {
			if r.due() {
				r.check(ctx, address)
			}
		}
	}
}

// due decides at random, so that the checks of all instances together keep the mean interval.
func (r *ReturnChecker) due() bool {
	chance := float64(returnPoll) / float64(returnInterval) / float64(max(1, r.Instances()))
	return r.Random.Float64() < chance
}

func (r *ReturnChecker) check(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	pool := transport.NewPool(address, 1)
	defer pool.CloseIdle()
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + "/load")
	if pool.Exchange(ctx, request, answer, maxReturnBytes) != nil {
		return
	}
	r.Loop.Observe(TargetEvent{
		Address:     address,
		Incarnation: string(answer.Header.Peek(header.TargetIncarnation)),
		Draining:    string(answer.Header.Peek(header.TargetDraining)) == "1",
	})
}
