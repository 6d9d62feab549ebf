package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// writeTimeout bounds how long a caller may take to read its answer. A later deadline of the request extends it.
const writeTimeout = 30 * time.Second

// writeResult writes the result to the caller, counts it and releases it. An error means that the caller did not receive
// the complete answer.
func (g *Gateway) writeResult(ctx context.Context, c *app.RequestContext, call *call, r *result) error {
	defer r.release()
	g.setNextTicket(c, call)
	if r.failureReason == nil && r.answer != nil && !r.answer.FullyBuffered() && r.answer.Length() < 0 && !c.Request.Header.IsHTTP11() {
		r = newRefusal(reason.AnswerUnbounded)
	}
	if err := setWriteDeadline(ctx, c); err != nil {
		return err
	}
	if r.failureReason != nil {
		return g.writeRefusal(c, call, r)
	}
	if r.storedAnswer != nil {
		return g.writeStoredAnswer(c, call, r.storedAnswer)
	}
	g.counter.Answered(call.serviceName, call.class.Name)
	g.setAnswerHead(c, r)
	if body := r.answer.Response.Body(); r.answer.FullyBuffered() && (len(body) <= inbound.AnswerPartBytes || c.Response.SkipBody) {
		c.Response.SetBodyRaw(body)
		return g.write(c, call)
	}
	return g.stream(c, call, r)
}

// setWriteDeadline sets the write deadline of the caller's connection to writeTimeout from now, or to the deadline of the
// request if that is later.
func setWriteDeadline(ctx context.Context, c *app.RequestContext) error {
	end := time.Now().Add(writeTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(end) {
		end = deadline
	}
	return c.GetConn().SetWriteDeadline(end)
}

// setAnswerHead copies the status and headers of a target's answer, except hop-by-hop and reserved headers, and sets the
// headers that report the outcome.
func (g *Gateway) setAnswerHead(c *app.RequestContext, r *result) {
	answer := r.answer
	h, source := &c.Response.Header, answer.Response
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(source.StatusCode())
	visitForwardedHeaders(answer, func(key, value []byte) { header.AddToResponse(h, key, value) })
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
		copyOwnerOutcome(h, &source.Header)
	case r.outcomeOverride != "":
		h.Set(header.Outcome, string(r.outcomeOverride))
		h.Set(header.Reason, reason.TargetError.Name)
	}
}

// visitForwardedHeaders calls f for each header of an answer that is forwarded to the caller.
func visitForwardedHeaders(answer *transport.Answer, f func(key, value []byte)) {
	answer.Response.Header.VisitAll(func(key, value []byte) {
		if forwardedToCaller(key) && !slices.Contains(answer.ConnectionOptions, string(key)) {
			f(key, value)
		}
	})
}

// beginAnswer records that the answer is being written. It sets Connection: close if the connection was evicted while its request was
// still arriving, because it is closed after the answer.
func (g *Gateway) beginAnswer(c *app.RequestContext, call *call) {
	call.answering = true
	call.conn.Answering()
	if call.conn.Evicted() {
		c.Response.Header.SetConnectionClose(true)
	}
}

// write sends c.Response to the caller and flushes the connection.
func (g *Gateway) write(c *app.RequestContext, call *call) error {
	g.beginAnswer(c, call)
	conn := c.GetConn()
	if err := resp.Write(&c.Response, conn); err != nil {
		return err
	}
	return conn.Flush()
}

// writeRefusal counts a refusal and writes an answer that carries its reason instead of a target's answer.
func (g *Gateway) writeRefusal(c *app.RequestContext, call *call, r *result) error {
	g.recordRefusal(call, r)
	return g.sendRefusal(c, call, r)
}

func (g *Gateway) recordRefusal(call *call, r *result) {
	g.counter.Refused(call.serviceName, r.failureReason)
	if r.failureReason == reason.Overloaded || r.failureReason == reason.ConnectionsBusy {
		g.connections.CloseUnread()
	}
	g.log.Debug("Refused a request.", "service", call.serviceName, "reason", r.failureReason.Name, "error", r.cause)
}

// sendRefusal writes the answer of writeRefusal.
func (g *Gateway) sendRefusal(c *app.RequestContext, call *call, r *result) error {
	h := &c.Response.Header
	h.SetStatusCode(r.failureReason.Status)
	setTargetAnswerHeaders(h, r.answerHead)
	h.Set(header.Outcome, string(r.outcome()))
	h.Set(header.Reason, r.failureReason.Name)
	h.Set(header.Instance, g.instance)
	h.SetContentType("text/plain; charset=utf-8")
	body := r.failureReason.Error() + "\n"
	c.Response.SetBodyString(body)
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		h.SetContentLengthBytes([]byte(strconv.Itoa(len(body))))
	}
	return g.write(c, call)
}
