package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve parses, admits, executes and answers one request. It returns an error if the answer could not be written
// completely; the connection must then be closed.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext, call *call) error {
	if inbound.OriginForm(string(c.Request.RequestURI())) == ticketPath {
		return g.serveTicket(ctx, c, call)
	}
	start := g.now()
	refusal := g.parse(c, call)
	defer func() { g.counter.AddedLatency(g.now() - start - call.exchangeTime) }()
	if refusal != nil {
		return g.writeResult(ctx, c, call, g.withoutUnprovenNotRun(c, newRefusal(refusal)))
	}
	ctx, finish := g.inFlight.begin(ctx, call.class.Long)
	defer finish()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	if call.atMostOnce {
		return g.serveOnce(ctx, c, call)
	}
	r, release := g.admitAndExecute(ctx, call)
	defer release()
	return g.writeResult(ctx, c, call, r)
}

// admitAndExecute waits for admission and sends the request to targets. The returned function must be called once, after
// the answer was written.
func (g *Gateway) admitAndExecute(ctx context.Context, call *call) (*result, func()) {
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		return newRefusal(applyDrainLimit(ctx, refusal)), func() {}
	}
	returned := false
	defer func() {
		if !returned {
			release()
		}
	}()
	r := g.execute(ctx, call)
	r.failureReason = applyDrainLimit(ctx, r.failureReason)
	returned = true
	return r, release
}
