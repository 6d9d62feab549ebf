package gateway

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve takes one request through the steps parse, admit, execute and answer. It returns an error when the answer
// could not be written completely; the connection must then be closed.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext) error {
	began := g.now()
	call, refusal := g.parse(c)
	defer func() { g.counter.Added(g.now() - began - call.waited) }()
	if refusal != nil {
		return g.answer(ctx, c, call, refused(refusal))
	}
	ctx, finish := g.inFlight.begin(ctx, call.class.Long)
	defer finish()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		return g.answer(ctx, c, call, refused(cutReason(ctx, refusal)))
	}
	defer release()
	outcome := g.execute(ctx, call)
	outcome.why = cutReason(ctx, outcome.why)
	return g.answer(ctx, c, call, outcome)
}
