package gateway

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve takes one request through the steps parse, admit, execute and answer.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext) {
	call, refusal := g.parse(c)
	if refusal != nil {
		g.answer(c, call, refused(refusal))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		g.answer(c, call, refused(refusal))
		return
	}
	defer release()
	g.answer(c, call, g.execute(ctx, call))
}
