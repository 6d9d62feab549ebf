package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/uuid"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// wholeAnswerBytes is the longest body that is read whole before the first byte goes to the caller.
const wholeAnswerBytes = 1 << 20

// attempt runs one exchange with one target and reports its end to the policy, for a streamed answer when the stream
// has ended.
func (g *Gateway) attempt(ctx context.Context, call *call, index int) *result {
	target := call.service.Targets[index]
	policy := call.service.Policy
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	buildRequest(request, call, target.Address)
	runID := uuid.NewString()
	prepare := func(request *protocol.Request, remaining time.Duration) error {
		addProtocolHeaders(request, call, runID, remaining)
		return nil
	}

	started := g.now()
	policy.Started(index, started)
	limits := g.answerLimits()
	limits.Accept = func(h *protocol.ResponseHeader, _ bool) bool { return answersRun(h, runID) }
	if call.once {
		limits.MaxIdle = onceMaxIdle
	}
	answer, err := target.Pool.Start(ctx, request, limits, prepare)
	answered := g.now()
	call.waited += answered - started
	if err != nil {
		policy.Finished(index, failureResult(started, answered, err))
		return failedResult(err)
	}
	omitDefaultType(answer)
	g.observe(target, answer.Response)
	finished := answerResult(started, answered, answer.Response)
	r := answerOrShed(answer)
	r.ended = func(err error) {
		call.waited += g.now() - answered
		if err != nil {
			finished = failureResult(started, g.now(), err)
		}
		policy.Finished(index, finished)
	}
	if r.why != nil || answer.Whole() {
		r.end(nil)
	}
	return r
}

// answersRun reports whether an answer may belong to a dispatch. Targets that echo its id are protected from a second copy
// of an earlier answer that arrives late on the same connection.
func answersRun(h *protocol.ResponseHeader, runID string) bool {
	echoed := h.Peek(header.RunID)
	return len(echoed) == 0 || string(echoed) == runID
}

// omitDefaultType keeps the codec from reporting text/plain for an answer without a content type.
func omitDefaultType(answer *transport.Answer) { answer.Response.Header.SetNoDefaultContentType(true) }

func (g *Gateway) answerLimits() transport.Limits {
	return transport.Limits{WholeBytes: min(wholeAnswerBytes, g.limits.MaxAnswerBytes), MaxBytes: g.limits.MaxAnswerBytes}
}

// observe hands on what an answer says about its target's departure.
func (g *Gateway) observe(target *control.Target, response *protocol.Response) {
	if g.ObserveDraining != nil && string(response.Header.Peek(header.TargetDraining)) == "1" {
		g.ObserveDraining(target, string(response.Header.Peek(header.TargetIncarnation)))
	}
}

func failedResult(err error) *result {
	var failure *transport.ExchangeError
	if errors.As(err, &failure) {
		return &result{why: failure.Reason, cause: failure}
	}
	return &result{why: reason.AnswerLost, cause: err}
}

// answerOrShed takes over the answer. By contract a target that sheds load did not start the request.
func answerOrShed(answer *transport.Answer) *result {
	response := answer.Response
	if response.StatusCode() == http.StatusServiceUnavailable && string(response.Header.Peek(header.TargetNotRun)) == "1" {
		answer.Close()
		return refused(reason.TargetShed)
	}
	return &result{answer: answer}
}

// answerResult describes an answer to the policy.
func answerResult(started, now time.Duration, response *protocol.Response) balancer.Result {
	r := balancer.Result{Now: now, Elapsed: now - started, Kind: balancer.Answered, Load: balancer.NoLoadReport}
	switch status := response.StatusCode(); {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.Kind = balancer.Shed
	case status >= http.StatusInternalServerError:
		r.Kind = balancer.Failed
	}
	if load, err := strconv.Atoi(string(response.Header.Peek(header.TargetLoad))); err == nil && load >= 0 {
		r.Load = load
	}
	return r
}

// failureResult describes a failed exchange to the policy.
func failureResult(started, now time.Duration, err error) balancer.Result {
	r := balancer.Result{Now: now, Elapsed: now - started, Kind: balancer.Failed, Load: balancer.NoLoadReport}
	var failure *transport.ExchangeError
	if errors.As(err, &failure) && isCancelled(failure.Reason) {
		r.Kind = balancer.Cancelled
	}
	return r
}

func isCancelled(r *reason.Reason) bool {
	return r == reason.CallerLeft || r == reason.CallerLeftEarly
}
