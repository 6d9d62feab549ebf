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

// atMostOnceMaxIdle limits how long a reused connection may have been idle before it carries a request that runs at most
// once. A connection that failed silently while idle would leave the outcome unknown; a new one costs about 1 ms.
const atMostOnceMaxIdle = time.Second

// runOnce executes a started operation and answers its caller. The operation continues when the caller disconnects,
// because the caller may repeat the request to learn the outcome.
func (g *Gateway) runOnce(ctx context.Context, c *app.RequestContext, call *call, operation *ticket.Operation) error {
	ctx, cancel := g.detach(ctx, call)
	defer cancel()
	recorded := false
	defer func() {
		if !recorded {
			// A panic passes through. Repeated requests wait until the outcome is recorded.
			operation.Unknown(g.now(), reason.InternalError)
		}
	}()
	r, release := g.admitAndExecute(ctx, call)
	defer release()
	if r.failureReason == nil && !r.answer.FullyBuffered() {
		answerHead := answerHeadOf(r.answer)
		err := g.writeResult(ctx, c, call, r)
		g.recordStreamOutcome(operation, c, answerHead, err)
		recorded = true
		return err
	}
	g.recordOutcome(operation, r)
	recorded = true
	return g.writeResult(ctx, c, call, r)
}

// detach returns a context that keeps the deadline and the drain limit of ctx but is not cancelled when the caller
// disconnects. The returned function must be called to release the context.
func (g *Gateway) detach(ctx context.Context, call *call) (context.Context, func()) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stopWatch := func() bool { return true }
	if !call.class.Long {
		stopWatch = context.AfterFunc(g.inFlight.drainLimit, func() { cancel(&drainLimitError{}) })
	}
	deadline, _ := ctx.Deadline()
	detached, stop := context.WithDeadline(detached, deadline)
	return detached, func() {
		stopWatch()
		stop()
		cancel(nil)
	}
}

// recordOutcome records the outcome of an operation. It must be called before the answer is written to the caller.
func (g *Gateway) recordOutcome(operation *ticket.Operation, r *result) {
	switch {
	case r.failureReason == nil && leavesExecutionUnknown(r.answer):
		r.outcomeOverride = reason.Unknown
		operation.Unknown(g.now(), reason.TargetError)
	case r.failureReason == nil:
		operation.Done(g.now(), answerHeadOf(r.answer), copyForStorage(r.answer))
	case r.outcome() == reason.NotRun:
		operation.NotRun(g.now())
	default:
		operation.Unknown(g.now(), r.failureReason)
	}
}

// recordStreamOutcome records the outcome of an operation whose answer was streamed. It must be called after the stream
// has ended with err.
func (g *Gateway) recordStreamOutcome(operation *ticket.Operation, c *app.RequestContext, head ticket.AnswerHead, err error) {
	if err == nil && string(c.Response.Header.Peek(header.Outcome)) == string(reason.Done) {
		operation.Done(g.now(), head, nil)
		return
	}
	operation.Unknown(g.now(), reason.AnswerTruncated)
}

// leavesExecutionUnknown reports whether an answer does not prove that the request ran. Proxies in front of targets send
// such answers.
func leavesExecutionUnknown(answer *transport.Answer) bool {
	switch answer.Response.StatusCode() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// answerHeadOf returns the part of an answer that is remembered if the answer itself is not stored.
func answerHeadOf(answer *transport.Answer) ticket.AnswerHead {
	return ticket.AnswerHead{
		Status: answer.Response.StatusCode(),
		Length: answer.Length(),
		Type:   string(answer.Response.Header.ContentType()),
	}
}

// setTargetAnswerHeaders describes a target's answer that is not stored. The target's status replaces the status of the
// reason, so that a caller that checks only the status does not mistake a refusal by the target for a success.
func setTargetAnswerHeaders(h *protocol.ResponseHeader, head ticket.AnswerHead) {
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

// copyForStorage copies the body, the status and the forwarded headers of an answer. It returns nil if the body is too
// long to be stored.
func copyForStorage(answer *transport.Answer) *ticket.Answer {
	body := answer.Response.Body()
	if len(body) > ticket.DefaultLimits().AnswerBytes {
		return nil
	}
	stored := &ticket.Answer{Status: answer.Response.StatusCode(), Body: append([]byte(nil), body...)}
	visitForwardedHeaders(answer, func(key, value []byte) {
		stored.Fields = append(stored.Fields, ticket.Field{Name: string(key), Value: string(value)})
	})
	return stored
}

// writeStoredAnswer answers a repeated request with the stored answer.
func (g *Gateway) writeStoredAnswer(c *app.RequestContext, call *call, stored *ticket.Answer) error {
	g.counter.Answered(call.serviceName, call.class.Name)
	h := &c.Response.Header
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(stored.Status)
	for _, f := range stored.Fields {
		header.AddToResponse(h, []byte(f.Name), []byte(f.Value))
	}
	h.Set(header.Outcome, string(reason.Done))
	h.Set(header.Instance, g.instance)
	c.Response.SetBodyRaw(stored.Body)
	return g.write(c, call)
}
