package gateway

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve takes one request through the steps parse, admit, execute and answer.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext) {
	began := g.now()
	call, refusal := g.parse(c)
	defer func() { g.counter.Added(g.now() - began - call.waited) }()
	if refusal != nil {
		g.answer(c, call, refused(refusal))
		return
	}
	ctx, finish := g.inFlight.begin(ctx, call.class.Long)
	defer finish()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		g.answer(c, call, refused(cutReason(ctx, refusal)))
		return
	}
	defer release()
	outcome := g.execute(ctx, call)
	outcome.why = cutReason(ctx, outcome.why)
	g.answer(c, call, outcome)
}
