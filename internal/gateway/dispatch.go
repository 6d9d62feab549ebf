package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/uuid"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// dispatch sends the request to targets until one answers. It writes the answer, or returns why there is none.
func (g *Gateway) dispatch(ctx context.Context, c *app.RequestContext, call *call) *reason.Reason {
	var tried []int
	for {
		index, ok := call.service.Policy.Pick(balancer.Request{Now: g.now(), Random: randomNumber(), Excluded: tried})
		if !ok {
			return reason.NoTarget
		}
		tried = append(tried, index)
		failure := g.attempt(ctx, c, call, index)
		if failure == nil {
			return nil
		}
		call.attempts--
		retry := retryReason(failure, call)
		if retry == nil {
			return failure.Reason
		}
		g.counter.Retried(call.serviceName, retry)
		g.log.Debug("Retrying on another target.", "service", call.serviceName, "reason", retry.Name, "error", failure)
	}
}

// attempt runs one exchange with one target and writes a whole answer to the caller.
func (g *Gateway) attempt(ctx context.Context, c *app.RequestContext, call *call, index int) *transport.ExchangeError {
	target := call.service.Targets[index]
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(answer)
	buildRequest(ctx, request, c, call, target.Address)

	started := g.now()
	call.service.Policy.Started(index, started)
	err := target.Pool.Exchange(ctx, request, answer, g.limits.MaxAnswerBytes)
	call.service.Policy.Finished(index, result(started, g.now(), answer, err))
	if err != nil {
		var failure *transport.ExchangeError
		errors.As(err, &failure)
		return failure
	}
	if string(answer.Header.Peek(header.TargetNotRun)) == "1" {
		return &transport.ExchangeError{Reason: reason.TargetShed, Address: target.Address, Err: reason.TargetShed}
	}
	g.writeAnswer(c, answer)
	return nil
}

// buildRequest copies the caller's request without headers that concern its connection only.
func buildRequest(ctx context.Context, request *protocol.Request, c *app.RequestContext, call *call, address string) {
	c.Request.Header.CopyTo(&request.Header)
	for _, name := range header.HopByHop() {
		request.Header.Del(name)
	}
	request.Header.SetRequestURI(call.uri)
	request.Header.SetHost(address)
	request.SetBodyRaw(c.Request.Body())
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		request.Header.Set(header.TimeoutMS, strconv.FormatInt(remaining, 10))
	}
	request.Header.Set(header.Attempts, strconv.Itoa(call.attempts))
	request.Header.Set(header.RunID, uuid.NewString())
}

func result(started, now time.Duration, answer *protocol.Response, err error) balancer.Result {
	r := balancer.Result{Now: now, Elapsed: now - started, Verdict: balancer.Answered, Load: balancer.NoLoad}
	var failure *transport.ExchangeError
	switch {
	case errors.As(err, &failure) && isCancelled(failure.Reason):
		r.Verdict = balancer.Cancelled
	case err != nil || answer.StatusCode() >= 500 && answer.StatusCode() != 503:
		r.Verdict = balancer.Failed
	case answer.StatusCode() == 503 || answer.StatusCode() == 429:
		r.Verdict = balancer.Rejected
	}
	if err == nil {
		if load, parseErr := strconv.Atoi(string(answer.Header.Peek(header.TargetLoad))); parseErr == nil {
			r.Load = load
		}
	}
	return r
}

func isCancelled(r *reason.Reason) bool {
	return r == reason.CallerLeft || r == reason.CallerLeftEarly
}

// retryReason says why the request may be sent to a further target, or returns nil.
func retryReason(failure *transport.ExchangeError, call *call) *reason.Reason {
	if call.attempts <= 0 {
		return nil
	}
	switch failure.Reason {
	case reason.TargetShed:
		return reason.RetryTargetShed
	case reason.ConnectionRefused:
		return reason.RetryConnectionRefused
	}
	if !call.class.Repeatable {
		return nil
	}
	switch failure.Reason {
	case reason.AnswerLost:
		return reason.RetryAnswerLost
	case reason.AnswerTruncated:
		return reason.RetryAnswerTruncated
	}
	return nil
}
