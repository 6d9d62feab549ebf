package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/ticket"
	"github.com/basillink/basillink/internal/transport"
)

// onceMaxIdle is how long ago the connection of a request that runs at most once last carried an answer. A
// connection that went silent while it was idle would leave the outcome unknown; a new one costs about 1 ms.
const onceMaxIdle = time.Second

// runOnce runs a started operation and answers its caller. The operation goes on when the caller leaves, because its
// outcome is what the caller's resend asks for.
func (g *Gateway) runOnce(ctx context.Context, c *app.RequestContext, call *call, operation *ticket.Operation) error {
	ctx, cancel := g.detach(ctx, call)
	defer cancel()
	r, release := g.admitAndExecute(ctx, call)
	defer release()
	if r.why == nil && !r.answer.Whole() {
		head := headOf(r.answer)
		err := g.answer(ctx, c, call, r)
		g.settleStream(operation, c, head, err)
		return err
	}
	g.settle(operation, r)
	return g.answer(ctx, c, call, r)
}

// detach returns a context that keeps the deadline and the drain limit and ignores that the caller leaves.
func (g *Gateway) detach(ctx context.Context, call *call) (context.Context, func()) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	unwatch := func() bool { return true }
	if !call.class.Long {
		unwatch = context.AfterFunc(g.inFlight.limit, func() { cancel(&drainLimitError{}) })
	}
	deadline, _ := ctx.Deadline()
	detached, stop := context.WithDeadline(detached, deadline)
	return detached, func() {
		unwatch()
		stop()
		cancel(nil)
	}
}

// settle records the outcome of an operation before its caller is told.
func (g *Gateway) settle(operation *ticket.Operation, r *result) {
	switch {
	case r.why == nil && unproved(r.answer):
		r.claim = reason.Unknown
		operation.Unknown(g.now(), reason.TargetError)
	case r.why == nil:
		operation.Done(g.now(), headOf(r.answer), keep(r.answer))
	case r.outcome() == reason.NotRun:
		operation.NotRun(g.now())
	default:
		operation.Unknown(g.now(), r.why)
	}
}

// settleStream records the outcome of an operation with a long answer after it was passed on.
func (g *Gateway) settleStream(operation *ticket.Operation, c *app.RequestContext, head ticket.AnswerHead, err error) {
	if err == nil && string(c.Response.Header.Peek(header.Outcome)) == string(reason.Done) {
		operation.Done(g.now(), head, nil)
		return
	}
	operation.Unknown(g.now(), reason.AnswerTruncated)
}

// unproved reports whether an answer leaves open if the request ran. Proxies in front of targets give such answers.
func unproved(answer *transport.Answer) bool {
	switch answer.Response.StatusCode() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// headOf returns what is remembered of an answer that is not kept.
func headOf(answer *transport.Answer) ticket.AnswerHead {
	return ticket.AnswerHead{
		Status: answer.Response.StatusCode(),
		Length: answer.Length(),
		Type:   string(answer.Response.Header.ContentType()),
	}
}

// setHead tells what is known of an answer that is not kept. The target's own status replaces the one of the reason,
// so that a caller that looks only at the status does not take a refusal of the target for a success.
func setHead(h *protocol.ResponseHeader, head ticket.AnswerHead) {
	if head.Status == 0 {
		return
	}
	h.SetStatusCode(head.Status)
	h.Set(header.AnswerStatus, strconv.Itoa(head.Status))
	if head.Type != "" {
		h.Set(header.AnswerType, head.Type)
	}
	if head.Length >= 0 {
		h.Set(header.AnswerLength, strconv.Itoa(head.Length))
	}
}

// keep copies an answer with the headers that reach the caller.
func keep(answer *transport.Answer) *ticket.Answer {
	body := answer.Response.Body()
	if len(body) > ticket.DefaultLimits().AnswerBytes {
		return nil
	}
	kept := &ticket.Answer{Status: answer.Response.StatusCode(), Body: append([]byte(nil), body...)}
	visitPassed(answer, func(key, value []byte) {
		kept.Fields = append(kept.Fields, ticket.Field{Name: string(key), Value: string(value)})
	})
	return kept
}

// writeKept answers a repeat with the kept answer.
func (g *Gateway) writeKept(c *app.RequestContext, call *call, kept *ticket.Answer) error {
	g.counter.Answered(call.serviceName, call.class.Name)
	h := &c.Response.Header
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(kept.Status)
	for _, f := range kept.Fields {
		header.AddToResponse(h, []byte(f.Name), []byte(f.Value))
	}
	h.Set(header.Outcome, string(reason.Done))
	h.Set(header.Instance, g.instance)
	c.Response.SetBodyRaw(kept.Body)
	return g.write(c)
}
