package gateway

import (
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
)

// answer writes the result to the caller, counts it and releases it.
func (g *Gateway) answer(c *app.RequestContext, call *call, r *result) {
	defer r.release()
	if r.why != nil {
		g.writeRefusal(c, call, r)
		return
	}
	g.writeAnswer(c, r.response)
	g.counter.Answered(call.serviceName, call.class.Name)
}

// writeAnswer passes a target's whole answer on to the caller.
func (g *Gateway) writeAnswer(c *app.RequestContext, answer *protocol.Response) {
	answer.Header.CopyTo(&c.Response.Header)
	for _, name := range header.HopByHop() {
		c.Response.Header.Del(name)
	}
	c.Response.SetBody(answer.Body())
	c.Response.Header.Set(header.Outcome, string(reason.Done))
	c.Response.Header.Set(header.Instance, g.instance)
}

// writeRefusal answers a request that no target answered.
func (g *Gateway) writeRefusal(c *app.RequestContext, call *call, r *result) {
	g.counter.Refused(call.serviceName, r.why)
	g.log.Debug("Refused a request.", "service", call.serviceName, "reason", r.why.Name, "error", r.cause)
	c.Response.Reset()
	c.SetStatusCode(r.why.Status)
	c.Response.Header.Set(header.Outcome, string(r.why.Outcome))
	c.Response.Header.Set(header.Reason, r.why.Name)
	c.Response.Header.Set(header.Instance, g.instance)
	c.SetContentType("text/plain; charset=utf-8")
	c.SetBodyString(r.why.Error() + "\n")
}
