package gateway

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// serve takes one request through the steps parse, admit, execute and answer. It returns an error when the answer
// could not be written completely; the connection must then be closed. Mark is told whether the class is long.
func (g *Gateway) serve(ctx context.Context, c *app.RequestContext, mark func(long bool)) error {
	call, refusal := g.parse(c)
	if refusal != nil {
		return g.answer(ctx, c, call, refused(refusal))
	}
	mark(call.class.Long)
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	release, refusal := g.admit(ctx, call)
	if refusal != nil {
		return g.answer(ctx, c, call, refused(refusal))
	}
	defer release()
	return g.answer(ctx, c, call, g.execute(ctx, call))
}
