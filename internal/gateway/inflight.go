package gateway

import (
	"context"
	"sync/atomic"

	"github.com/basillink/basillink/internal/reason"
)

// inFlight counts the requests that are being served and cuts off those of short classes when a drain limit has
// passed. It is safe for concurrent use.
type inFlight struct {
	count    atomic.Int64
	draining atomic.Bool
	// limited is false without a drain limit, which saves each request a context. It is set before the first request.
	limited bool
	limit   context.Context
	pass    context.CancelFunc
}

func newInFlight() *inFlight {
	limit, pass := context.WithCancel(context.Background())
	return &inFlight{limit: limit, pass: pass}
}

// drainLimitError is the cause of a cancellation by the drain limit.
type drainLimitError struct{}

func (*drainLimitError) Error() string { return "the drain limit has passed" }

// begin counts a request. The returned context ends when the drain limit passes, unless the class is long.
// The returned function is called once, when the answer is complete.
func (f *inFlight) begin(ctx context.Context, long bool) (context.Context, func()) {
	f.count.Add(1)
	if long || !f.limited {
		return ctx, func() { f.count.Add(-1) }
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.limit, func() { cancel(&drainLimitError{}) })
	return ctx, func() {
		stop()
		cancel(nil)
		f.count.Add(-1)
	}
}

// cutReason replaces the reason of a request that the drain limit cut off. The claim about its execution stays.
func cutReason(ctx context.Context, why *reason.Reason) *reason.Reason {
	if _, cut := context.Cause(ctx).(*drainLimitError); !cut || why == nil {
		return why
	}
	if why.Outcome == reason.NotRun {
		return reason.NotReady
	}
	return reason.DrainLimit
}

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.count.Load() }

// RefuseNewRequests makes the gateway refuse requests that arrive from now on.
func (g *Gateway) RefuseNewRequests() {
	g.inFlight.draining.Store(true)
	g.desk.Stop()
}

// CancelShortRequests ends the requests in flight whose class is not long.
func (g *Gateway) CancelShortRequests() { g.inFlight.pass() }
