package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/ticket"
	"github.com/basillink/basillink/internal/transport"
)

// OwnerResolver finds the instances that issued tickets. Implementations are safe for concurrent use.
type OwnerResolver interface {
	// CallerAddress returns the address of the owner's caller listener, or false when this incarnation is not known
	// to be running.
	CallerAddress(owner ticket.Owner) (string, bool)
}

// noOwners knows no other instance.
type noOwners struct{}

func (noOwners) CallerAddress(ticket.Owner) (string, bool) { return "", false }

// ConfigureTickets sets the incarnation under which peers know this process, and how the owners of tickets are found. It must be
// called before Run.
func (g *Gateway) ConfigureTickets(incarnation uint64, owners OwnerResolver) {
	g.desk = newDesk(g.instance, incarnation, g.tickets)
	g.owners = owners
}

const (
	// forwardConnections bounds the connections to one other instance.
	forwardConnections = 64
	// maxForwardPools bounds the pools. It exceeds the instances that run at once at the two-year size of 200.
	maxForwardPools = 512
)

// forwardPools holds the connections to other instances. It is safe for concurrent use.
type forwardPools struct {
	mu    sync.Mutex
	pools map[string]*transport.Pool
}

func (f *forwardPools) pool(address string) *transport.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool := f.pools[address]; pool != nil {
		return pool
	}
	if len(f.pools) >= maxForwardPools || f.pools == nil {
		f.drop()
	}
	pool := transport.NewPool(address, forwardConnections)
	f.pools[address] = pool
	return pool
}

// drop closes all pools; exchanges in flight finish. The lock is held.
func (f *forwardPools) drop() {
	for _, pool := range f.pools {
		pool.Close()
	}
	f.pools = map[string]*transport.Pool{}
}

// forward asks the instance that issued the ticket, once. Whatever goes wrong, an earlier copy of the request may have
// run, so that no failure claims not run.
func (g *Gateway) forward(ctx context.Context, call *call, text string, owner ticket.Owner) *result {
	address, ok := g.owners.CallerAddress(owner)
	if !ok {
		return refused(reason.TicketOwnerGone)
	}
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	buildRequest(request, call, address)
	addForwardHeaders(request, call, text)
	prepare := func(request *protocol.Request, remaining time.Duration) error {
		request.Header.Set(header.TimeoutMS, strconv.FormatInt(remaining.Milliseconds(), 10))
		return nil
	}
	started := g.now()
	answer, err := g.forwards.pool(address).Start(ctx, request, g.answerLimits(), prepare)
	call.waited += g.now() - started
	if err != nil {
		return forwardFailure(ctx, err)
	}
	omitDefaultType(answer)
	return &result{answer: answer, fromOwner: true}
}

func forwardFailure(ctx context.Context, err error) *result {
	if transport.Ended(ctx) {
		return &result{why: cutReason(ctx, endReason(ctx)), cause: err}
	}
	return &result{why: reason.ForwardLost, cause: err}
}

// addForwardHeaders adds what the owner needs to know of the caller's request.
func addForwardHeaders(request *protocol.Request, call *call, text string) {
	h := &request.Header
	h.Set(header.Forwarded, "1")
	h.Set(header.Ticket, text)
	h.Set(header.Service, call.serviceName)
	h.Set(header.Class, call.class.Name)
	h.Set(header.Caller, call.caller)
	h.Set(header.Attempts, strconv.Itoa(call.attempts))
}

// ownerClaims are the headers with which an owner tells about the execution.
var ownerClaims = []string{
	header.Outcome, header.Reason, header.Instance, header.AnswerStatus, header.AnswerType, header.AnswerLength,
}

// setOwnerClaim passes on what the owner says about the execution. An answer without a claim proves nothing.
func setOwnerClaim(h *protocol.ResponseHeader, answer *protocol.ResponseHeader) {
	h.Set(header.Outcome, string(reason.Unknown))
	for _, name := range ownerClaims {
		if value := answer.Peek(name); len(value) > 0 {
			h.SetBytesV(name, value)
		}
	}
}
