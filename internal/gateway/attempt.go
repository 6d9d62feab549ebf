package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// attempt runs one exchange with one target and reports its end to the policy.
func (g *Gateway) attempt(ctx context.Context, call *call, index int) *result {
	target := call.service.Targets[index]
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	buildRequest(ctx, request, call, target.Address)

	started := g.now()
	call.service.Policy.Started(index, started)
	err := target.Pool.Exchange(ctx, request, response, g.limits.MaxAnswerBytes)
	ended := g.now()
	call.waited += ended - started
	call.service.Policy.Finished(index, policyResult(started, ended, response, err))
	return exchangeResult(response, err)
}

// exchangeResult takes over the response.
func exchangeResult(response *protocol.Response, err error) *result {
	var failure *transport.ExchangeError
	if errors.As(err, &failure) {
		protocol.ReleaseResponse(response)
		return &result{why: failure.Reason, cause: failure}
	}
	if string(response.Header.Peek(header.TargetNotRun)) == "1" {
		protocol.ReleaseResponse(response)
		return refused(reason.TargetShed)
	}
	return &result{response: response}
}

// policyResult describes the end of an exchange to the policy.
func policyResult(started, now time.Duration, answer *protocol.Response, err error) balancer.Result {
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
