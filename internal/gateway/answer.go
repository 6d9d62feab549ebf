package gateway

import (
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
)

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

// refuse answers a request that no target answered.
func (g *Gateway) refuse(c *app.RequestContext, service string, why *reason.Reason) {
	g.counter.Refused(service, why)
	g.log.Debug("Refused a request.", "service", service, "reason", why.Name)
	c.Response.Reset()
	c.SetStatusCode(why.Status)
	c.Response.Header.Set(header.Outcome, string(why.Outcome))
	c.Response.Header.Set(header.Reason, why.Name)
	c.Response.Header.Set(header.Instance, g.instance)
	c.SetContentType("text/plain; charset=utf-8")
	c.SetBodyString(why.Error() + "\n")
}
