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

// maxBufferedAnswerBytes is the size of the longest body that is read completely before its first byte is sent to the
// caller. Longer bodies are streamed.
const maxBufferedAnswerBytes = 1 << 20

// attempt runs one exchange with the target at an index and reports its result to the balancing policy. For a streamed
// answer it reports at the end of the stream.
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
	var answer *transport.Answer
	returned := false
	defer func() {
		if !returned {
			// A panic passes through. The target must not seem to run the request for ever.
			policy.Finished(index, balancer.Result{Now: g.now(), Elapsed: g.now() - started, Kind: balancer.Cancelled, Load: balancer.NoLoadReport})
			closeAnswer(answer)
		}
	}()
	limits := g.answerLimits(call)
	limits.Accept = func(h *protocol.ResponseHeader, _ bool) bool { return matchesRunID(h, runID) }
	if call.atMostOnce {
		limits.CheckAfterIdle = atMostOnceMaxIdle
	}
	answer, err := target.Pool.RoundTrip(ctx, request, limits, prepare)
	answered := g.now()
	call.exchangeTime += answered - started
	if err != nil {
		returned = true
		policy.Finished(index, failedPolicyResult(started, answered, err))
		return resultOfError(err)
	}
	omitDefaultType(answer)
	g.checkDraining(target, answer.Response)
	policyResult := answeredPolicyResult(started, answered, answer.Response)
	r := resultOfAnswer(answer)
	returned = true
	r.onFinish = func(err error) {
		call.exchangeTime += g.now() - answered
		if err != nil {
			policyResult = failedPolicyResult(started, g.now(), err)
		}
		policy.Finished(index, policyResult)
	}
	if r.failureReason != nil || answer.FullyBuffered() {
		r.finish(nil)
	}
	return r
}

// closeAnswer closes an answer, if there is one.
func closeAnswer(answer *transport.Answer) {
	if answer != nil {
		answer.Close()
	}
}

// matchesRunID reports whether an answer may belong to the request with a run id. If the target echoes the run id, a
// late duplicate of an earlier answer on the same connection is recognized. Answers without a run id are accepted.
func matchesRunID(h *protocol.ResponseHeader, runID string) bool {
	echoed := h.Peek(header.RunID)
	return len(echoed) == 0 || string(echoed) == runID
}

// omitDefaultType prevents the codec from reporting text/plain for an answer without a content type.
func omitDefaultType(answer *transport.Answer) { answer.Response.Header.SetNoDefaultContentType(true) }

func (g *Gateway) answerLimits(call *call) transport.Limits {
	return transport.Limits{
		MaxBufferedBytes: min(maxBufferedAnswerBytes, g.limits.MaxAnswerBytes), MaxBodyBytes: g.limits.MaxAnswerBytes, Memory: call.memory,
	}
}

// checkDraining calls ObserveDraining if an answer says that its target is draining.
func (g *Gateway) checkDraining(target *control.Target, response *protocol.Response) {
	if g.ObserveDraining != nil && string(response.Header.Peek(header.TargetDraining)) == "1" {
		g.ObserveDraining(target, string(response.Header.Peek(header.TargetIncarnation)))
	}
}

// resultOfError returns the result of an exchange that failed.
func resultOfError(err error) *result {
	var failure *transport.ExchangeError
	if errors.As(err, &failure) {
		return &result{failureReason: failure.Reason, cause: failure}
	}
	return &result{failureReason: reason.AnswerLost, cause: err}
}

// resultOfAnswer returns the result for an answer and takes ownership of the answer. By contract, a target that sets
// Target-Not-Run on a 503 answer did not start the request.
func resultOfAnswer(answer *transport.Answer) *result {
	response := answer.Response
	if response.StatusCode() == http.StatusServiceUnavailable && string(response.Header.Peek(header.TargetNotRun)) == "1" {
		answer.Close()
		return newRefusal(reason.TargetShed)
	}
	return &result{answer: answer}
}

// answeredPolicyResult returns the result of an answered exchange for the balancing policy.
func answeredPolicyResult(started, now time.Duration, response *protocol.Response) balancer.Result {
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

// failedPolicyResult returns the result of a failed exchange for the balancing policy.
func failedPolicyResult(started, now time.Duration, err error) balancer.Result {
	r := balancer.Result{Now: now, Elapsed: now - started, Kind: balancer.Failed, Load: balancer.NoLoadReport}
	var failure *transport.ExchangeError
	if errors.As(err, &failure) && isCancelled(failure.Reason) {
		r.Kind = balancer.Cancelled
	}
	return r
}

// isCancelled reports whether an exchange ended because the caller disconnected.
func isCancelled(r *reason.Reason) bool {
	return r == reason.CallerLeftRunning || r == reason.CallerLeftEarly
}
