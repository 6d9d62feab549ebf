package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// writeTimeout bounds how long a caller may take to accept an answer that is already whole.
const writeTimeout = 30 * time.Second

// answer writes the result to the caller, counts it and releases it. An error means that the caller did not receive
// all of it.
func (g *Gateway) answer(ctx context.Context, c *app.RequestContext, call *call, r *result) error {
	defer r.release()
	g.offerTicket(c, call)
	if r.why == nil && r.answer != nil && !r.answer.Whole() && r.answer.Length() < 0 && !c.Request.Header.IsHTTP11() {
		r = refused(reason.AnswerUnbounded)
	}
	if err := setWriteDeadline(ctx, c); err != nil {
		return err
	}
	if r.why != nil {
		return g.writeRefusal(c, call, r)
	}
	if r.kept != nil {
		return g.writeKept(c, call, r.kept)
	}
	g.counter.Answered(call.serviceName, call.class.Name)
	g.setAnswerHead(c, r)
	if r.answer.Whole() {
		c.Response.SetBodyRaw(r.answer.Response.Body())
		return g.write(c)
	}
	return g.stream(c, call, r)
}

func setWriteDeadline(ctx context.Context, c *app.RequestContext) error {
	end := time.Now().Add(writeTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(end) {
		end = deadline
	}
	return c.GetConn().SetWriteDeadline(end)
}

// setAnswerHead copies the head of a target's answer without the headers that concern its connection or belong to the
// protocol.
func (g *Gateway) setAnswerHead(c *app.RequestContext, r *result) {
	answer := r.answer
	h, source := &c.Response.Header, answer.Response
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(source.StatusCode())
	visitPassed(answer, func(key, value []byte) { header.AddToResponse(h, key, value) })
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		if length := source.Header.ContentLength(); length >= 0 {
			h.SetContentLength(length)
		}
	}
	h.Set(header.Outcome, string(reason.Done))
	h.Set(header.Instance, g.instance)
	switch {
	case r.fromOwner:
		setOwnerClaim(h, &source.Header)
	case r.claim != "":
		h.Set(header.Outcome, string(r.claim))
		h.Set(header.Reason, reason.TargetError.Name)
	}
}

// visitPassed calls f for each header of an answer that reaches the caller.
func visitPassed(answer *transport.Answer, f func(key, value []byte)) {
	answer.Response.Header.VisitAll(func(key, value []byte) {
		if passesToCaller(key) && !slices.Contains(answer.Options, string(key)) {
			f(key, value)
		}
	})
}

// write sends c.Response to the caller.
func (g *Gateway) write(c *app.RequestContext) error {
	conn := c.GetConn()
	if err := resp.Write(&c.Response, conn); err != nil {
		return err
	}
	return conn.Flush()
}

// writeRefusal answers a request that no target answered.
func (g *Gateway) writeRefusal(c *app.RequestContext, call *call, r *result) error {
	g.counter.Refused(call.serviceName, r.why)
	g.log.Debug("Refused a request.", "service", call.serviceName, "reason", r.why.Name, "error", r.cause)
	h := &c.Response.Header
	h.SetStatusCode(r.why.Status)
	setHead(h, r.head)
	h.Set(header.Outcome, string(r.outcome()))
	h.Set(header.Reason, r.why.Name)
	h.Set(header.Instance, g.instance)
	h.SetContentType("text/plain; charset=utf-8")
	body := r.why.Error() + "\n"
	c.Response.SetBodyString(body)
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		h.SetContentLengthBytes([]byte(strconv.Itoa(len(body))))
	}
	return g.write(c)
}
