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

// OwnerResolver finds the instances that issued tickets. Implementations must be safe for concurrent use.
type OwnerResolver interface {
	// CallerAddress returns the address on which the owner listens for callers, or false if the owner's incarnation is
	// not known to be running.
	CallerAddress(owner ticket.Owner) (string, bool)
}

// noOwnerResolver is the resolver of an instance without peers. It finds no owner.
type noOwnerResolver struct{}

func (noOwnerResolver) CallerAddress(ticket.Owner) (string, bool) { return "", false }

// ConfigureTickets sets the incarnation under which peers know this process and the resolver for owners of tickets. It
// must be called before Run.
func (g *Gateway) ConfigureTickets(incarnation uint64, owners OwnerResolver) {
	g.tickets = newTicketManager(g.instance, incarnation, g.ticketSettings)
	g.owners = owners
}

const (
	// forwardConnections is the maximum number of connections to one other instance.
	forwardConnections = 64
	// maxForwardPools is the maximum number of pools. It exceeds the 200 instances expected to run at once in two years.
	maxForwardPools = 512
)

// forwardPools holds one connection pool for each other instance, by address. It is safe for concurrent use.
type forwardPools struct {
	mu    sync.Mutex
	pools map[string]*transport.Pool
}

// pool returns the pool for an address and creates it if necessary. When maxForwardPools is reached, it first closes all
// pools.
func (f *forwardPools) pool(address string) *transport.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool := f.pools[address]; pool != nil {
		return pool
	}
	if len(f.pools) >= maxForwardPools || f.pools == nil {
		f.closeAll()
	}
	pool := transport.NewPool(address, forwardConnections)
	f.pools[address] = pool
	return pool
}

// closeAll closes all pools. Exchanges in flight finish. The caller must hold f.mu.
func (f *forwardPools) closeAll() {
	for _, pool := range f.pools {
		pool.Close()
	}
	f.pools = map[string]*transport.Pool{}
}

// forwardToOwner forwards the request once to the instance that issued its ticket. An earlier copy of the request may
// have run, so no failure claims that the request was not run.
func (g *Gateway) forwardToOwner(ctx context.Context, call *call, text string, owner ticket.Owner) *result {
	address, ok := g.owners.CallerAddress(owner)
	if !ok {
		return newRefusal(reason.TicketOwnerGone)
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
	answer, err := g.ownerPools.pool(address).RoundTrip(ctx, request, g.answerLimits(call), prepare)
	call.exchangeTime += g.now() - started
	if err != nil {
		return forwardFailure(ctx, err)
	}
	omitDefaultType(answer)
	return &result{answer: answer, fromOwner: true}
}

// forwardFailure returns the result of a forwarded request that received no answer.
func forwardFailure(ctx context.Context, err error) *result {
	if transport.ContextDone(ctx) {
		return &result{failureReason: applyDrainLimit(ctx, contextReason(ctx)), cause: err}
	}
	return &result{failureReason: reason.ForwardLost, cause: err}
}

// addForwardHeaders adds the headers that buildRequest leaves out and that the owner needs to serve the request.
func addForwardHeaders(request *protocol.Request, call *call, text string) {
	h := &request.Header
	h.Set(header.Forwarded, "1")
	h.Set(header.Ticket, text)
	h.Set(header.Service, call.serviceName)
	h.Set(header.Class, call.class.Name)
	h.Set(header.Caller, call.caller)
	h.Set(header.Attempts, strconv.Itoa(call.attemptsLeft))
}

// ownerOutcomeHeaders are the headers of an owner's answer that describe the execution of the request.
var ownerOutcomeHeaders = []string{
	header.Outcome, header.Reason, header.Instance, header.AnswerStatus, header.AnswerType, header.AnswerLength,
}

// copyOwnerOutcome copies the headers of an owner's answer that describe the execution. The outcome is unknown if the
// owner does not set one.
func copyOwnerOutcome(h *protocol.ResponseHeader, answer *protocol.ResponseHeader) {
	h.Set(header.Outcome, string(reason.Unknown))
	for _, name := range ownerOutcomeHeaders {
		if value := answer.Peek(name); len(value) > 0 {
			h.SetBytesV(name, value)
		}
	}
}
