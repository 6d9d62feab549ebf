package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// result is the answer of a target or the reason why there is none.
type result struct {
	// failure is nil for a successful answer. A forwarded 5xx answer has both a failure and an answer.
	failure    *reason.Reason
	answer     *transport.Answer
	retryAfter time.Duration
	// cause is the error behind the failure. It is only logged.
	cause error
	// retryable is true if the request may be sent to another target.
	retryable bool
	// retryReason is the reason under which a retry is counted and logged.
	retryReason *reason.Reason
	// notSent is true if nothing was sent because the decision was no longer valid.
	notSent bool
	// notReached is true if the target provably did not receive the request.
	notReached bool
	// streaming is the attempt whose answer is still being read while it is forwarded. It is nil for buffered answers.
	streaming *attempt
}

func newRefusal(refusal *reason.Reason) *result { return &result{failure: refusal, cause: refusal} }

// release closes the answer, if there is one. A second call has no effect.
func (r *result) release() {
	if r != nil && r.answer != nil {
		r.answer.Close()
		r.answer = nil
	}
}

// execute sends the request to one target after another until one answers or the request must not be retried. The result
// must be released.
func (g *Gateway) execute(ctx context.Context, call *call) *result {
	for {
		if res, retry := g.executeOnce(ctx, call); !retry {
			return res
		}
	}
}

// executeOnce sends the request to one target once the crash guard admits it. It reports whether the request is to be tried
// again, in which case there is no result.
func (g *Gateway) executeOnce(ctx context.Context, call *call) (res *result, retry bool) {
	admission, refusal := g.awaitAdmission(ctx, call)
	if refusal != nil {
		return refusal, false
	}
	defer admission.Release()
	return g.tryTarget(ctx, call, &admission)
}

// awaitAdmission waits until the crash guard admits a request.
func (g *Gateway) awaitAdmission(ctx context.Context, call *call) (crashguard.Admission, *result) {
	if !g.crashGuard.Active() {
		return crashguard.Admission{}, nil
	}
	defer call.quota.lend(g.Now())()
	return g.awaitCrashAdmission(ctx, call)
}

// awaitTarget waits for a target for a request.
func (g *Gateway) awaitTarget(ctx context.Context, call *call) dispatch.Decision {
	defer call.quota.lend(g.Now())()
	return call.pool.Acquire(ctx, &call.dispatchRequest)
}

// slot is the slot of a target that a decision has reserved for a request.
type slot struct {
	call     *call
	decision dispatch.Decision
	released bool
}

// release reports the result of the request to the dispatcher, which frees the slot. Further calls have no effect.
func (s *slot) release(done dispatch.DoneInfo) {
	if s.released || s.decision.Target == nil {
		return
	}
	s.released = true
	s.call.pool.Release(&s.call.dispatchRequest, s.decision, done)
}

// tryTarget sends the request to one target. It reports whether the request is to be tried again, in which case there is no
// result.
func (g *Gateway) tryTarget(ctx context.Context, call *call, admission *crashguard.Admission) (res *result, retry bool) {
	if err := g.checkTimeLeft(call, g.Now()); err != nil {
		return newDrainRefusal(err), false
	}
	if refusal := g.reauthorize(call, g.Now()); refusal != nil {
		return g.refuseUnsent(call, refusal), false
	}
	decision := g.awaitTarget(ctx, call)
	slot := &slot{call: call, decision: decision}
	// send releases the slot unless it panics.
	defer slot.release(dispatch.DoneInfo{Result: dispatch.Cancelled})
	call.lastDecision = decision
	call.waited = decision.Inputs.Waited
	if decision.Inputs.DeniedClaims > 0 {
		g.Counter.Denied(call.service, decision.Inputs.DeniedClaims)
	}
	if decision.Target == nil {
		return g.refuseUnassigned(ctx, call, decision), false
	}
	if refusal := g.acquireCredit(ctx, call); refusal != nil {
		slot.release(dispatch.DoneInfo{Result: dispatch.Cancelled, NotReached: true})
		return refusal, false
	}
	call.attempts++
	attempt := g.newAttempt(ctx, call, decision)
	returned := false
	defer func() {
		if !returned {
			attempt.closeSentinel()
			res.release()
		}
	}()
	res = g.send(ctx, call, slot, attempt, admission)
	call.recordExecution(res)
	retry = g.finishAttempt(ctx, call, attempt, res)
	returned = true
	if retry {
		return nil, true
	}
	return res, false
}

// recordExecution records whether a target may have run the request in the attempt that ended with a result.
func (call *call) recordExecution(r *result) {
	if r.failure != nil && r.failure.Outcome == reason.NotRun {
		call.quota.regain()
		return
	}
	call.mayHaveRun = true
}

// finishAttempt reports the result of an attempt to the crash guard and decides whether the request is tried again. If so, it
// releases the result.
func (g *Gateway) finishAttempt(ctx context.Context, call *call, attempt *attempt, res *result) (retry bool) {
	if res.notSent && ctx.Err() == nil {
		attempt.closeSentinel()
		call.attempts--
		return true
	}
	g.reportAttempt(ctx, call, attempt, res)
	if !res.retryable || ctx.Err() != nil {
		return false
	}
	if call.attempts >= max(call.route.MaxAttempts, 1) || g.checkTimeLeft(call, g.Now()) != nil {
		return false
	}
	if g.acquireCredit(ctx, call) != nil || !call.pool.MayRetry() {
		return false
	}
	g.recordRetry(call, res)
	call.dispatchRequest.Excluded = append(call.dispatchRequest.Excluded, attempt.target)
	res.streaming.closeSentinel()
	res.release()
	return true
}

// newDrainRefusal returns the refusal of a request that would not end before the process does.
func newDrainRefusal(err error) *result {
	return &result{failure: reason.NotReady, cause: err, retryAfter: notReadyRetryAfter}
}

// refuseUnassigned returns the refusal of a request for which no target was chosen.
func (g *Gateway) refuseUnassigned(ctx context.Context, call *call, d dispatch.Decision) *result {
	refusal := d.Refusal
	if call.attempts > 0 && refusal == reason.NoTarget {
		refusal = reason.TargetShed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal = reason.Overloaded
	}
	r := newRefusal(refusal)
	if d.Cause != nil {
		r.cause = d.Cause
	}
	r.retryAfter = d.RetryAfter
	return r
}

const (
	// maxBufferedAnswerBytes is the size of the largest body that is buffered before it is forwarded. A buffered answer that
	// is truncated can be retried; a longer one is streamed.
	maxBufferedAnswerBytes = 256 << 10
	// maxAnswerBytes is the size of the largest accepted body.
	maxAnswerBytes = 64 << 20
	// connectTimeout bounds the wait for a turn in the connection pool of a target, after which a target is chosen again, and
	// then the opening of a connection. Targets usually accept within about 1 ms.
	connectTimeout = 150 * time.Millisecond
)

// maxDecisionAge is how old a decision may be when the request is sent. The wait for a turn in the connection pool and the
// opening of a connection take at most connectTimeout each, so a longer delay means that the process was paused, and the target
// may have been deregistered in the meantime.
const maxDecisionAge = 500 * time.Millisecond

// StaleDecisionError reports that the request was not sent within maxDecisionAge of the decision.
type StaleDecisionError struct{ Age time.Duration }

func (e *StaleDecisionError) Error() string {
	return fmt.Sprintf("the dispatch decision is %s old, more than %s", e.Age.Round(time.Millisecond), maxDecisionAge)
}

// TargetUnavailableError reports that the chosen target was deregistered, began to drain, requested a backoff or became cold before
// the request was sent, or that the credit for a cold target expired.
type TargetUnavailableError struct{ Target string }

func (e *TargetUnavailableError) Error() string {
	return "target " + e.Target + " no longer accepts requests"
}

// invalidatesDecision reports whether an error means that nothing was sent and that a new decision is needed.
func invalidatesDecision(err error) bool {
	var stale *StaleDecisionError
	var unavailable *TargetUnavailableError
	var held *CrashHeldError
	var draining *DrainingError
	var unauthorized *AuthorizationError
	var expired *CreditExpiredError
	var timeout *transport.ConnectTimeoutError
	if errors.As(err, &timeout) {
		return timeout.Waited
	}
	if errors.As(err, &unauthorized) || errors.As(err, &expired) {
		return true
	}
	return errors.As(err, &stale) || errors.As(err, &unavailable) || errors.As(err, &held) || errors.As(err, &draining)
}

// prepareSend returns a function that transport calls just before it writes the request. It checks that the decision is still
// valid and sets the deadline header.
func (g *Gateway) prepareSend(call *call, d dispatch.Decision, admission *crashguard.Admission) transport.PrepareFunc {
	return func(request *protocol.Request, remaining time.Duration) error {
		now, _ := g.DetectSuspension()
		if age := now - d.SentAt(); age > maxDecisionAge {
			return &StaleDecisionError{age}
		}
		if err := g.checkTimeLeft(call, now); err != nil {
			return err
		}
		if !call.pool.AcceptsDecision(d) {
			return &TargetUnavailableError{d.Target.ID}
		}
		if g.crashGuard.Active() && (!g.crashGuard.StillAdmitted(now, call.fingerprint(), admission) || g.crashGuard.RefusesCaller(call.callerFingerprint())) {
			return g.newCrashHeldError(call)
		}
		if refusal := g.reauthorize(call, now); refusal != nil {
			return &AuthorizationError{refusal}
		}
		if err := call.quota.spend(now); err != nil {
			return err
		}
		g.setDeadline(request, min(remaining, call.deadline-now))
		return nil
	}
}

// send transmits the request to the chosen target, reports the result to the dispatcher, which frees the slot of the target, and
// returns the result.
func (g *Gateway) send(ctx context.Context, call *call, slot *slot, attempt *attempt, admission *crashguard.Admission) *result {
	d := slot.decision
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	g.buildRequest(request, call, d.Target.ID)
	limits := transport.Limits{
		MaxBufferedBytes: maxBufferedAnswerBytes, MaxBodyBytes: maxAnswerBytes, AllowCloseDelimited: true, ConnectTimeout: connectTimeout,
		Memory: call.memory,
		Accept: func(h *protocol.ResponseHeader, fresh bool) bool { return g.answersRequest(h, call.id, fresh) },
	}
	if g.beforeSend != nil {
		g.beforeSend()
	}
	answer, err := attempt.connPool.RoundTrip(ctx, request, limits, g.prepareSend(call, d, admission))
	if invalidatesDecision(err) {
		g.recordNewChoice(call, d, err)
		slot.release(dispatch.DoneInfo{Result: dispatch.Cancelled, NotReached: true})
		return &result{failure: reason.ConnectionLost, cause: err, notSent: true}
	}
	if err != nil {
		res := g.failedExchange(ctx, call, err)
		slot.release(dispatch.DoneInfo{Result: dispatchResult(res), NotReached: res.notReached})
		return res
	}
	returned := false
	defer func() {
		if !returned {
			answer.Close()
		}
	}()
	g.applyBackpressureHints(call, attempt, answer)
	// A 421 answer comes from another target at the same address.
	misdirected := answer.Response.StatusCode() == http.StatusMisdirectedRequest
	report := dispatch.DoneInfo{AnswerBytes: max(answer.Length(), 0), NotReached: misdirected}
	if load, ok := g.ParseLoad(answer.Response.Header.Peek(g.Headers.Load)); ok {
		load.ReceivedAt = g.Now()
		report.Load = &load
	}
	if g.ParseWarmup != nil && !misdirected {
		report.ColdFor = g.ParseWarmup(answer.Response.Header.Peek(g.Headers.Warmup))
	}
	// classify may close the answer, so its size and load are read before.
	res := g.classify(call, attempt, answer)
	report.Result = dispatchResult(res)
	slot.release(report)
	returned = true
	return res
}

// leavingValue is the value of the leaving header by which a target announces that it is draining.
const leavingValue = "1"

// applyBackpressureHints applies the leaving and Retry-After headers of an answer to the target. A 421 answer comes from
// another target at the same address, so its headers are ignored.
func (g *Gateway) applyBackpressureHints(call *call, attempt *attempt, answer *transport.Answer) {
	h := &answer.Response.Header
	if h.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	if string(h.Peek(g.Headers.Leaving)) == leavingValue && call.pool.MarkDraining(attempt.target) {
		g.Log.Info("A target announced that it is draining.", "request", call.id, "target", attempt.target.ID)
	}
	if h.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	if backoff := header.RetryAfter(h); backoff > 0 && call.pool.SetBackoff(attempt.target, backoff) {
		g.Log.Info("A target requested a backoff.", "request", call.id, "target", attempt.target.ID, "pause_ms", backoff.Milliseconds())
	}
}

// answersRequest reports whether an answer belongs to the request with an id. A 4xx or 5xx answer need not echo the id, but
// one without an id is only accepted on a fresh connection: on a reused one it may be a late duplicate for an earlier request
// and would wrongly claim that this one did not run.
func (g *Gateway) answersRequest(h *protocol.ResponseHeader, id string, fresh bool) bool {
	echoed := h.Peek(g.Headers.RequestID)
	return string(echoed) == id || fresh && len(echoed) == 0 && h.StatusCode() >= http.StatusBadRequest
}

// setDeadline sets the deadline header to the remaining time, at least 1 ms.
func (g *Gateway) setDeadline(request *protocol.Request, remaining time.Duration) {
	request.Header.Set(g.Headers.DeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// failedExchange returns the result of an exchange without an answer. It is retryable if the request was not sent or the route
// is idempotent.
func (g *Gateway) failedExchange(ctx context.Context, call *call, err error) *result {
	r := &result{failure: reason.AnswerLost, cause: err}
	var exchangeErr *transport.ExchangeError
	if errors.As(err, &exchangeErr) {
		r.failure = exchangeErr.Reason
		r.retryable = ctx.Err() == nil && (!exchangeErr.Sent || call.route.Idempotent)
		r.notReached = !exchangeErr.Sent
	}
	r.retryReason = retryReason(r.failure)
	return r
}

// classify decides whether an answer is forwarded to the caller, and whether the request may be retried. An answer that is not
// forwarded is closed.
func (g *Gateway) classify(call *call, attempt *attempt, answer *transport.Answer) *result {
	status := answer.Response.StatusCode()
	notRun := len(answer.Response.Header.Peek(g.Headers.NotExecuted)) > 0 || status == http.StatusMisdirectedRequest
	switch {
	case status == http.StatusMisdirectedRequest:
		g.OnMisdirected(attempt.target.ID)
		g.reportTargetTerminated(attempt)
		return g.discardAnswer(answer, reason.TargetShed, reason.RetryTargetShed, true)
	case notRun && impliesNotRun(status):
		return g.discardAnswer(answer, reason.TargetShed, reason.RetryTargetShed, true)
	case impliesNotRun(status):
		// Without the explicit header the target may have run the request, so this status must not reach the caller.
		return g.discardAnswer(answer, reason.TargetError, reason.RetryAnswerLost, call.route.Idempotent)
	case status >= http.StatusInternalServerError:
		return &result{answer: answer, retryable: call.route.Idempotent, failure: reason.TargetError, retryReason: reason.RetryTargetError}
	}
	return &result{answer: answer}
}

// impliesNotRun reports whether a caller would conclude from a status that its request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// discardAnswer closes an answer that is not forwarded and returns the result that replaces it.
func (g *Gateway) discardAnswer(answer *transport.Answer, failure, retry *reason.Reason, retryable bool) *result {
	answer.Close()
	return &result{failure: failure, cause: failure, retryReason: retry, retryable: retryable}
}

// dispatchResult returns the result of an exchange as the dispatcher counts it.
func dispatchResult(r *result) dispatch.Result {
	switch r.failure {
	case nil:
		return dispatch.Answered
	case reason.TargetShed:
		return dispatch.Shed
	case reason.ConnectionRefused:
		return dispatch.ConnectFailed
	case reason.CallerLeftRunning, reason.CallerLeftEarly, reason.DeadlineTooShort, reason.ConnectionsBusy:
		return dispatch.Cancelled
	}
	return dispatch.Failed
}

// retryReason returns the reason of a retry after a failed exchange.
func retryReason(failure *reason.Reason) *reason.Reason {
	switch failure {
	case reason.ConnectionRefused:
		return reason.RetryConnectionRefused
	case reason.ConnectionsBusy:
		return reason.RetryConnectionsBusy
	case reason.ConnectionLost:
		return reason.RetryConnectionLost
	case reason.AnswerTruncated:
		return reason.RetryAnswerTruncated
	}
	return reason.RetryAnswerLost
}
