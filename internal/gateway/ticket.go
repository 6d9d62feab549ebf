package gateway

import (
	"context"
	"crypto/rand"
	"net/http"

	"github.com/basillink/basillink/internal/inbound"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/basillink/basillink/internal/digest"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/ticket"
)

// ticketPath issues a ticket on request.
const ticketPath = "/.basillink/ticket"

// newDesk returns a desk with a new key.
func newDesk(instance string, incarnation uint64, bounds settings.Tickets) *ticket.Manager {
	var key ticket.Key
	// crypto/rand.Read never returns an error; it ends the process when the system has no randomness.
	_, _ = rand.Read(key[:])
	limits := ticket.DefaultLimits()
	limits.Entries, limits.StoredBytes = bounds.MaxOperations, bounds.MaxKeptBytes
	return ticket.NewManager(ticket.Owner{Instance: instance, Incarnation: incarnation}, key, limits)
}

// AddClosingRecord stores one part of another instance's closing record.
func (g *Gateway) AddClosingRecord(part []byte) error {
	return g.desk.ClosingRecords().Add(g.now(), part)
}

// ClosingRecord ends the running of operations with tickets and returns the closing record in parts of at most
// maxBytes. It is called after Shutdown.
func (g *Gateway) ClosingRecord(maxBytes int) [][]byte { return g.desk.Close(g.now(), maxBytes) }

// offerTicket gives the caller a ticket for its next operation.
func (g *Gateway) offerTicket(c *app.RequestContext, call *call) {
	if call.service == nil || call.service.AllRepeatable {
		return
	}
	if text := g.desk.Issue(g.now()); text != "" {
		c.Response.Header.Set(header.NextTicket, text)
	}
}

// serveTicket answers a request for a ticket.
func (g *Gateway) serveTicket(ctx context.Context, c *app.RequestContext) error {
	text := g.desk.Issue(g.now())
	if text == "" {
		return g.answer(ctx, c, &call{request: &c.Request}, refused(reason.NotReady))
	}
	if err := setWriteDeadline(ctx, c); err != nil {
		return err
	}
	h := &c.Response.Header
	h.SetStatusCode(http.StatusOK)
	h.SetContentType("text/plain; charset=utf-8")
	h.Set(header.Outcome, string(reason.Done))
	h.Set(header.Instance, g.instance)
	h.Set(header.NextTicket, text)
	c.Response.SetBodyString(text + "\n")
	return g.write(c)
}

// limitClaim lowers the claim of a refusal that was made before the ticket was looked at, for example because the
// instance has no configuration: an earlier copy of the request may have run.
func (g *Gateway) limitClaim(c *app.RequestContext, r *result) *result {
	text := string(c.GetHeader(header.Ticket))
	if text == "" || r.why.Outcome != reason.NotRun || g.desk.CloseUnused(g.now(), text) {
		return r
	}
	r.claim = reason.Unknown
	return r
}

// serveOnce serves a request that runs at most once.
func (g *Gateway) serveOnce(ctx context.Context, c *app.RequestContext, call *call) error {
	text := string(c.GetHeader(header.Ticket))
	if text == "" {
		return g.answer(ctx, c, call, refused(reason.TicketRequired))
	}
	if inbound.CallerDisconnected(ctx) {
		// An instance that was paused finds requests whose senders have given up. They start nothing.
		return &CallerGoneError{}
	}
	content := digest.Request(call.serviceName, string(c.Method()), call.uri, c.Request.Body())
	for {
		decision := g.desk.Decide(g.now(), text, content, call.forwarded)
		switch decision.Action {
		case ticket.Run:
			return g.runOnce(ctx, c, call, decision.Operation)
		case ticket.Replay:
			return g.answer(ctx, c, call, &result{kept: decision.Answer})
		case ticket.Forward:
			return g.answer(ctx, c, call, g.forward(ctx, call, text, decision.Owner))
		case ticket.Refuse:
			return g.answer(ctx, c, call, &result{why: decision.Reason, cause: decision.Reason, head: decision.Head})
		}
		select {
		case <-decision.Finished:
		case <-ctx.Done():
			return g.answer(ctx, c, call, refused(cutReason(ctx, endReason(ctx))))
		}
	}
}

// CallerGoneError reports a request whose sender closed the connection before it was looked at.
type CallerGoneError struct{}

func (*CallerGoneError) Error() string { return "the caller is gone" }

// endReason says why nobody waits for a running operation any longer.
func endReason(ctx context.Context) *reason.Reason {
	if ctx.Err() == context.Canceled {
		return reason.CallerLeft
	}
	return reason.AnswerTimeout
}
