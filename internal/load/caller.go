package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
)

// Caller sends one request. It is safe for concurrent use.
type Caller interface {
	// Call sends the request of a number and returns how it ended.
	Call(ctx context.Context, number int) Result
}

// httpCaller sends requests over HTTP and keeps tickets for classes that may not be repeated.
type httpCaller struct {
	plan    *Plan
	pool    *connPool
	tickets ticketStore
}

// NewCaller returns a caller for the plan, which was checked. Close closes its connections.
func NewCaller(plan *Plan) (Caller, func(), error) {
	address, err := plan.address()
	if err != nil {
		return nil, nil, err
	}
	pool := &connPool{address: address}
	return &httpCaller{plan: plan, pool: pool}, pool.close, nil
}

// answerGrace lets an instance report a passed deadline before the generator gives up.
const answerGrace = time.Second

// Call implements Caller.
func (c *httpCaller) Call(ctx context.Context, number int) Result {
	ctx, cancel := context.WithTimeout(ctx, c.plan.Timeout+answerGrace)
	defer cancel()
	got, err := c.send(ctx, number, c.tickets.take(time.Now()))
	ticket, needed := requiredTicket(got)
	if !needed {
		return c.handleAnswer(got, err)
	}
	// The answer proves that the request was not run, so sending it with the ticket is no repetition.
	c.tickets.enable()
	result := c.handleAnswer(c.send(ctx, number, ticket))
	result.Ticketed = true
	return result
}

// ticketFor returns the ticket with which a refused request may be sent.
func requiredTicket(got *answer) (string, bool) {
	if got == nil || got.status != http.StatusPreconditionRequired {
		return "", false
	}
	ticket := got.header.Get(header.NextTicket)
	return ticket, ticket != ""
}

func (c *httpCaller) handleAnswer(got *answer, err error) Result {
	if err != nil {
		return failedResult(err)
	}
	result := classify(got)
	c.tickets.dropStale(result)
	c.tickets.put(got.header.Get(header.NextTicket), time.Now())
	return result
}

func (c *httpCaller) send(ctx context.Context, number int, ticket string) (*answer, error) {
	request, err := http.NewRequestWithContext(ctx, c.plan.Method, c.plan.URL, strings.NewReader(c.plan.Body))
	if err != nil {
		return nil, &callError{causeConnectFailed, err}
	}
	for name, value := range c.plan.Header {
		request.Header.Set(name, value)
	}
	if c.plan.IDHeader != "" {
		request.Header.Set(c.plan.IDHeader, fmt.Sprintf("%d-%d", c.plan.Seed, number))
	}
	request.Header.Set(header.TimeoutMS, strconv.FormatInt(c.plan.Timeout.Milliseconds(), 10))
	if ticket != "" {
		request.Header.Set(header.Ticket, ticket)
	}
	return c.pool.exchange(ctx, request)
}

func failedResult(err error) Result {
	var call *callError
	if errors.As(err, &call) {
		return Result{Kind: Failed, Cause: call.cause}
	}
	return Result{Kind: Failed, Cause: causeConnectionLost}
}

// classify reads the outcome of an answer. An answer without one comes from a server that is not an instance.
func classify(got *answer) Result {
	result := Result{Status: got.status, Cause: got.header.Get(header.Reason)}
	switch outcome := reason.Outcome(got.header.Get(header.Outcome)); {
	case outcome == reason.Done:
		result.Kind = Answered
	case outcome == reason.NotRun:
		result.Kind = Refused
	case outcome == reason.Unknown:
		result.Kind = Failed
	case got.status < http.StatusInternalServerError:
		result.Kind = Answered
	default:
		result.Kind, result.Cause = Failed, causeServerError
	}
	return result
}
