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

// Caller sends requests. Implementations must be safe for concurrent use.
type Caller interface {
	// Call sends the request with the given number, counted from 0, and returns its result.
	Call(ctx context.Context, number int) Result
}

// httpCaller sends requests over HTTP. It stores the tickets of answers and uses them for requests of classes that are
// not repeatable.
type httpCaller struct {
	plan    *Plan
	pool    *connPool
	tickets ticketStore
}

// NewCaller returns a caller for a valid plan, and a function that closes the caller's idle connections.
func NewCaller(plan *Plan) (Caller, func(), error) {
	address, err := plan.address()
	if err != nil {
		return nil, nil, err
	}
	pool := &connPool{address: address}
	return &httpCaller{plan: plan, pool: pool}, pool.close, nil
}

// answerGrace extends the timeout of a request, so that an instance can still report an exceeded deadline.
const answerGrace = time.Second

// Call implements Caller.
func (c *httpCaller) Call(ctx context.Context, number int) Result {
	ctx, cancel := context.WithTimeout(ctx, c.plan.Timeout+answerGrace)
	defer cancel()
	ans, err := c.send(ctx, number, c.tickets.take(time.Now()))
	ticket, required := requiredTicket(ans)
	if !required {
		return c.handleAnswer(ans, err)
	}
	// Status 428 proves that the request was not run, so sending it again with the ticket does not repeat it.
	c.tickets.enable()
	result := c.handleAnswer(c.send(ctx, number, ticket))
	result.Ticketed = true
	return result
}

// requiredTicket returns the ticket of a 428 answer. It returns false for any other answer and if there is no ticket.
func requiredTicket(ans *answer) (string, bool) {
	if ans == nil || ans.status != http.StatusPreconditionRequired {
		return "", false
	}
	ticket := ans.header.Get(header.NextTicket)
	return ticket, ticket != ""
}

// handleAnswer classifies an answer or error and updates the stored tickets.
func (c *httpCaller) handleAnswer(ans *answer, err error) Result {
	if err != nil {
		return failedResult(err)
	}
	result := classify(ans)
	c.tickets.dropStale(result)
	c.tickets.put(ans.header.Get(header.NextTicket), time.Now())
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

// classify returns the result for an answer. An answer without an outcome header comes from a server that is not an
// instance, and is classified by its status.
func classify(ans *answer) Result {
	result := Result{Status: ans.status, Cause: ans.header.Get(header.Reason)}
	switch outcome := reason.Outcome(ans.header.Get(header.Outcome)); {
	case outcome == reason.Done:
		result.Kind = Answered
	case outcome == reason.NotRun:
		result.Kind = Refused
	case outcome == reason.Unknown:
		result.Kind = Failed
	case ans.status < http.StatusInternalServerError:
		result.Kind = Answered
	default:
		result.Kind, result.Cause = Failed, causeServerError
	}
	return result
}
