package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve takes one request through the steps parse, admit, execute and answer. It returns an error when the answer
// could not be written completely; the connection must then be closed.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext) error {
	if inbound.OriginForm(string(c.Request.RequestURI())) == ticketPath {
		return g.serveTicket(ctx, c)
	}
	began := g.now()
	call, refusal := g.parse(c)
	defer func() { g.counter.AddedLatency(g.now() - began - call.waited) }()
	if refusal != nil {
		return g.answer(ctx, c, call, g.limitClaim(c, refused(refusal)))
	}
	ctx, finish := g.inFlight.begin(ctx, call.class.Long)
	defer finish()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	if call.once {
		return g.serveOnce(ctx, c, call)
	}
	outcome, release := g.admitAndExecute(ctx, call)
	defer release()
	return g.answer(ctx, c, call, outcome)
}

// admitAndExecute waits for admission and sends the request to targets. The returned function is called once, after
// the answer was written.
func (g *Gateway) admitAndExecute(ctx context.Context, call *call) (*result, func()) {
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		return refused(cutReason(ctx, refusal)), func() {}
	}
	outcome := g.execute(ctx, call)
	outcome.why = cutReason(ctx, outcome.why)
	return outcome, release
}
