package gateway

import (
	"context"
	"sync/atomic"

	"github.com/basillink/basillink/internal/reason"
)

// inFlight counts the requests in flight and cancels those of short classes when the drain limit has passed. It is safe
// for concurrent use.
type inFlight struct {
	count    atomic.Int64
	draining atomic.Bool
	// hasDrainLimit is true if a drain limit is configured. Without one, requests need no context of their own. It must be
	// set before the first request.
	hasDrainLimit bool
	// drainLimit is cancelled by reachDrainLimit when the drain limit has passed.
	drainLimit      context.Context
	reachDrainLimit context.CancelFunc
}

func newInFlight() *inFlight {
	drainLimit, reachDrainLimit := context.WithCancel(context.Background())
	return &inFlight{drainLimit: drainLimit, reachDrainLimit: reachDrainLimit}
}

// drainLimitError is the cause of a cancellation by the drain limit.
type drainLimitError struct{}

func (*drainLimitError) Error() string { return "the drain limit has passed" }

// begin counts a request. The returned context is cancelled when the drain limit passes, unless the class is long. The
// returned function must be called once, when the answer is complete.
func (f *inFlight) begin(ctx context.Context, long bool) (context.Context, func()) {
	f.count.Add(1)
	if long || !f.hasDrainLimit {
		return ctx, func() { f.count.Add(-1) }
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.drainLimit, func() { cancel(&drainLimitError{}) })
	return ctx, func() {
		stop()
		cancel(nil)
		f.count.Add(-1)
	}
}

// applyDrainLimit replaces the reason of a request that was cancelled by the drain limit. The outcome stays the same.
func applyDrainLimit(ctx context.Context, failure *reason.Reason) *reason.Reason {
	if _, cancelled := context.Cause(ctx).(*drainLimitError); !cancelled || failure == nil {
		return failure
	}
	if failure.Outcome == reason.NotRun {
		return reason.NotReady
	}
	return reason.DrainLimit
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.count.Load() }

// RefuseNewRequests makes the gateway refuse new requests and stops issuing tickets. Repeats of requests with tickets are
// still answered.
func (g *Gateway) RefuseNewRequests() {
	g.inFlight.draining.Store(true)
	g.tickets.Stop()
}

// CancelShortRequests cancels the requests in flight whose class is not long.
func (g *Gateway) CancelShortRequests() { g.inFlight.reachDrainLimit() }
