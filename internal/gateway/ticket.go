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

// ticketPath is the path on which callers request a ticket.
const ticketPath = "/.basillink/ticket"

// newTicketManager returns a ticket manager with a new random key.
func newTicketManager(instance string, incarnation uint64, bounds settings.Tickets) *ticket.Manager {
	var key ticket.Key
	// crypto/rand.Read never returns an error; it terminates the process if the system has no randomness.
	_, _ = rand.Read(key[:])
	limits := ticket.DefaultLimits()
	limits.Entries, limits.StoredBytes = bounds.MaxOperations, bounds.MaxKeptBytes
	return ticket.NewManager(ticket.Owner{Instance: instance, Incarnation: incarnation}, key, limits)
}

// AddClosingRecord stores one part of another instance's closing record. It returns an error if the part is malformed or
// the store is full.
func (g *Gateway) AddClosingRecord(part []byte) error {
	return g.tickets.ClosingStore().Add(g.now(), part)
}

// ClosingRecord stops starting operations and returns the closing record of this instance in parts of at most maxBytes. It
// must be called after Shutdown.
func (g *Gateway) ClosingRecord(maxBytes int) [][]byte { return g.tickets.Close(g.now(), maxBytes) }

// setNextTicket adds a ticket for the caller's next operation to the answer if the service has a class that needs one.
func (g *Gateway) setNextTicket(c *app.RequestContext, call *call) {
	if call.service == nil || call.service.AllRepeatable {
		return
	}
	if text := g.tickets.Issue(g.now()); text != "" {
		c.Response.Header.Set(header.NextTicket, text)
	}
}

// serveTicket answers a request to ticketPath.
func (g *Gateway) serveTicket(ctx context.Context, c *app.RequestContext, call *call) error {
	text := g.tickets.Issue(g.now())
	if text == "" {
		return g.writeResult(ctx, c, call, newRefusal(reason.NotReady))
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
	return g.write(c, call)
}

// withoutUnprovenNotRun changes the outcome of a refusal from not run to unknown if the request carries a ticket and this
// instance cannot prove that the operation did not run; otherwise it closes the ticket. It is used for refusals before the
// ticket was checked, for example because the instance has no configuration: an earlier copy of the request may have run.
func (g *Gateway) withoutUnprovenNotRun(c *app.RequestContext, r *result) *result {
	text := string(c.GetHeader(header.Ticket))
	if text == "" || r.failureReason.Outcome != reason.NotRun || g.tickets.CloseUnused(g.now(), text) {
		return r
	}
	r.outcomeOverride = reason.Unknown
	return r
}

// serveOnce serves a request that runs at most once. It waits while an earlier request with the same ticket is running.
func (g *Gateway) serveOnce(ctx context.Context, c *app.RequestContext, call *call) error {
	text := string(c.GetHeader(header.Ticket))
	if text == "" {
		return g.writeResult(ctx, c, call, newRefusal(reason.TicketRequired))
	}
	if inbound.CallerDisconnected(ctx) {
		// After a pause of the process, callers of received requests may have timed out and disconnected. Such requests
		// are not started.
		return &CallerGoneError{}
	}
	contentDigest := digest.Request(call.serviceName, string(c.Method()), call.uri, c.Request.Body())
	for {
		decision := g.tickets.Decide(g.now(), text, contentDigest, call.forwarded)
		switch decision.Action {
		case ticket.Run:
			return g.runOnce(ctx, c, call, decision.Operation)
		case ticket.Replay:
			return g.writeResult(ctx, c, call, &result{storedAnswer: decision.Answer})
		case ticket.Forward:
			return g.writeResult(ctx, c, call, g.forwardToOwner(ctx, call, text, decision.Owner))
		case ticket.Refuse:
			return g.writeResult(ctx, c, call, &result{failureReason: decision.Reason, cause: decision.Reason, answerHead: decision.AnswerHead})
		}
		select {
		case <-decision.Finished:
		case <-ctx.Done():
			return g.writeResult(ctx, c, call, newRefusal(applyDrainLimit(ctx, contextReason(ctx))))
		}
	}
}

// CallerGoneError reports that a caller closed its connection before its request was processed.
type CallerGoneError struct{}

func (*CallerGoneError) Error() string {
	return "the caller closed the connection before its request was processed"
}

// contextReason returns the reason for an ended context of a request whose operation may be running.
func contextReason(ctx context.Context) *reason.Reason {
	if ctx.Err() == context.Canceled {
		return reason.CallerLeftRunning
	}
	return reason.AnswerTimeout
}
