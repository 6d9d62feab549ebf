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

// result is the answer of a target, or the reason why there is none.
type result struct {
	reason     *reason.Reason
	answer     *transport.Answer
	retryAfter time.Duration
	// cause is the error behind why, for logs.
	cause error
	// retryable is true when a further target may receive the request.
	retryable bool
	// retry is the reason of that.
	retryReason *reason.Reason
	// expired is true when nothing was sent because the decision did not hold any more.
	notSent bool
	// streamed is the run whose answer is read while it is passed on.
	streaming *attempt
}

func newRefusal(why *reason.Reason) *result { return &result{reason: why, cause: why} }

func (r *result) release() {
	if r.answer != nil {
		r.answer.Close()
		r.answer = nil
	}
}

// execute sends the request to targets until one answers, or no further target may receive it.
func (g *Gateway) execute(ctx context.Context, call *call) *result {
	for {
		entry, refusal := g.awaitCrashAdmission(ctx, call)
		if refusal != nil {
			return refusal
		}
		outcome, again := g.tryTarget(ctx, call, &entry)
		entry.Release()
		if !again {
			return outcome
		}
	}
}

// tryOnce sends the request to one target. It reports whether a further one may receive it.
func (g *Gateway) tryTarget(ctx context.Context, call *call, entry *crashguard.Admission) (outcome *result, again bool) {
	decision := call.pool.Acquire(ctx, &call.dispatchRequest)
	call.lastDecision = decision
	call.waited = decision.Inputs.Waited
	if decision.Inputs.DeniedClaims > 0 {
		g.Counter.Denied(call.service, decision.Inputs.DeniedClaims)
	}
	if decision.Target == nil {
		return g.refuseUnassigned(ctx, call, decision), false
	}
	call.attempts++
	run := g.newAttempt(ctx, call, decision)
	outcome = g.send(ctx, call, decision, run, entry)
	if outcome.notSent && ctx.Err() == nil {
		run.sentinel.close()
		call.attempts--
		return nil, true
	}
	g.reportAttempt(ctx, call, run, outcome)
	if !outcome.retryable || ctx.Err() != nil {
		return outcome, false
	}
	if call.attempts >= max(call.route.MaxAttempts, 1) || !call.pool.MayRetry() {
		return outcome, false
	}
	g.recordRetry(call, outcome)
	call.dispatchRequest.Excluded = append(call.dispatchRequest.Excluded, decision.Target)
	if outcome.streaming != nil {
		outcome.streaming.sentinel.close()
	}
	outcome.release()
	return nil, true
}

// unassigned ends a request for which no target was chosen.
func (g *Gateway) refuseUnassigned(ctx context.Context, call *call, d dispatch.Decision) *result {
	why := d.Refusal
	if call.attempts > 0 && why == reason.NoTarget {
		why = reason.TargetShed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		why = reason.Overloaded
	}
	r := newRefusal(why)
	r.retryAfter = d.RetryAfter
	return r
}

const (
	// wholeAnswerBytes is the longest answer that is read whole before it is passed on, so that one that breaks off can be
	// asked for again.
	maxBufferedAnswerBytes = 256 << 10
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
	// connectTimeout bounds the opening of a connection. Targets accept within about 1 ms.
	connectTimeout = 150 * time.Millisecond
)

// decisionLifetime is how old a decision may be when the request is sent. Opening a connection takes at most connectTimeout;
// a longer delay means that the process was paused, and the target may have left meanwhile.
const maxDecisionAge = 500 * time.Millisecond

// StaleDecisionError reports a decision that was not carried out in time.
type StaleDecisionError struct{ Age time.Duration }

func (e *StaleDecisionError) Error() string {
	return fmt.Sprintf("the decision for the target is %s old", e.Age.Round(time.Millisecond))
}

// TargetUnavailableError reports a decision for a target that left, or asked for a pause, before the request was sent.
type TargetUnavailableError struct{ Target string }

func (e *TargetUnavailableError) Error() string {
	return "the target " + e.Target + " takes no requests since the decision"
}

// withdraws reports whether an error says that a decision was not carried out.
func invalidatesDecision(err error) bool {
	var expired *StaleDecisionError
	var departed *TargetUnavailableError
	var held *CrashHeldError
	return errors.As(err, &expired) || errors.As(err, &departed) || errors.As(err, &held)
}

// prepare completes a request just before it is sent, by what is known now.
func (g *Gateway) prepareSend(call *call, d dispatch.Decision, entry *crashguard.Admission) transport.Prepare {
	return func(request *protocol.Request, remaining time.Duration) error {
		now, _ := g.DetectSuspension()
		if age := now - d.SentAt(); age > maxDecisionAge {
			return &StaleDecisionError{age}
		}
		if !call.pool.Accepts(d.Target) {
			return &TargetUnavailableError{d.Target.ID}
		}
		if g.crashGuard.Active() && !g.crashGuard.StillAdmitted(now, call.fingerprint(), entry) {
			return g.newCrashHeldError(call)
		}
		g.setDeadline(request, min(remaining, call.deadline-now))
		return nil
	}
}

// attempt sends the request to one target.
func (g *Gateway) send(ctx context.Context, call *call, d dispatch.Decision, run *attempt, entry *crashguard.Admission) *result {
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	g.buildRequest(request, call, d.Target.ID)
	limits := transport.Limits{
		WholeBytes: maxBufferedAnswerBytes, MaxBytes: maxAnswerBytes, CloseDelimited: true, ConnectTimeout: connectTimeout,
		Accept: func(h *protocol.ResponseHeader, fresh bool) bool { return g.answersRequest(h, call.id, fresh) },
	}
	if g.beforeSend != nil {
		g.beforeSend()
	}
	answer, err := run.connPool.Start(ctx, request, limits, g.prepareSend(call, d, entry))
	if invalidatesDecision(err) {
		g.Log.Warn("Deciding again.", "request", call.id, "target", d.Target.ID, "error", err)
		call.pool.Release(&call.dispatchRequest, d, dispatch.DoneInfo{Result: dispatch.Cancelled})
		return &result{reason: reason.ConnectionLost, cause: err, notSent: true}
	}
	if err != nil {
		outcome := g.failedExchange(ctx, call, err)
		call.pool.Release(&call.dispatchRequest, d, dispatch.DoneInfo{Result: dispatchResult(outcome)})
		return outcome
	}
	g.applyBackpressureHints(call, run, answer)
	report := dispatch.DoneInfo{AnswerBytes: max(answer.Length(), 0)}
	if load, ok := g.ParseLoad(answer.Response.Header.Peek(g.Headers.Load)); ok {
		load.ReceivedAt = g.Now()
		report.Load = &load
	}
	// Classify may drop the answer, so that the report is taken before.
	outcome := g.classify(call, run, answer)
	report.Result = dispatchResult(outcome)
	call.pool.Release(&call.dispatchRequest, d, report)
	return outcome
}

// leaves is the value by which a target says that it is leaving.
const leavingValue = "1"

// heed notes what a target asks of this instance with its answer: to send nothing more, or nothing for a time. An answer of another
// target at the address says nothing of this one.
func (g *Gateway) applyBackpressureHints(call *call, run *attempt, answer *transport.Answer) {
	h := &answer.Response.Header
	if h.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	if string(h.Peek(g.Headers.Leaving)) == leavingValue && call.pool.MarkDraining(run.target) {
		g.Log.Info("A target says that it is leaving.", "request", call.id, "target", run.target.ID)
	}
	if h.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	if pause := header.RetryAfter(h); pause > 0 && call.pool.SetBackoff(run.target, pause) {
		g.Log.Info("A target asks for a pause.", "request", call.id, "target", run.target.ID, "pause_ms", pause.Milliseconds())
	}
}

// belongs reports whether an answer is one to the request. Refusals of a target need not echo the id. On a connection that
// was used before, such a refusal may be a late copy of one to an earlier request, and would say that this one did not run.
func (g *Gateway) answersRequest(h *protocol.ResponseHeader, id string, fresh bool) bool {
	echoed := h.Peek(g.Headers.RequestID)
	return string(echoed) == id || fresh && len(echoed) == 0 && h.StatusCode() >= http.StatusBadRequest
}

func (g *Gateway) setDeadline(request *protocol.Request, remaining time.Duration) {
	request.Header.Set(g.Headers.DeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// failure describes an exchange without an answer.
func (g *Gateway) failedExchange(ctx context.Context, call *call, err error) *result {
	r := &result{reason: reason.AnswerLost, cause: err}
	var exchange *transport.ExchangeError
	if errors.As(err, &exchange) {
		r.reason = exchange.Reason
		r.retryable = ctx.Err() == nil && (!exchange.Sent || call.route.Idempotent)
	}
	r.retryReason = retryReason(r.reason)
	return r
}

// classify decides whether an answer of a target is passed on.
func (g *Gateway) classify(call *call, run *attempt, answer *transport.Answer) *result {
	status := answer.Response.StatusCode()
	notRun := len(answer.Response.Header.Peek(g.Headers.NotExecuted)) > 0 || status == http.StatusMisdirectedRequest
	switch {
	case status == http.StatusMisdirectedRequest:
		g.OnMisdirected(run.target.ID)
		g.reportTargetTerminated(run)
		return g.discardAnswer(answer, reason.TargetShed, reason.RetryTargetShed, true)
	case notRun && impliesNotRun(status):
		return g.discardAnswer(answer, reason.TargetShed, reason.RetryTargetShed, true)
	case impliesNotRun(status):
		// A target that does not say so may have run the request, so the status must not reach the caller.
		return g.discardAnswer(answer, reason.TargetError, reason.RetryAnswerLost, call.route.Idempotent)
	case status >= http.StatusInternalServerError:
		return &result{answer: answer, retryable: call.route.Idempotent, reason: reason.TargetError, retryReason: reason.RetryTargetError}
	}
	return &result{answer: answer}
}

// isPromise reports whether a status tells a caller that its request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// replace drops an answer that does not reach the caller.
func (g *Gateway) discardAnswer(answer *transport.Answer, why, retry *reason.Reason, retryable bool) *result {
	answer.Close()
	return &result{reason: why, cause: why, retryReason: retry, retryable: retryable}
}

// endOf tells the dispatcher how an exchange ended.
func dispatchResult(r *result) dispatch.Result {
	switch r.reason {
	case nil:
		return dispatch.Answered
	case reason.TargetShed:
		return dispatch.Shed
	case reason.ConnectionRefused, reason.ConnectionsBusy:
		return dispatch.ConnectFailed
	case reason.CallerLeft, reason.CallerLeftEarly, reason.DeadlineTooShort:
		return dispatch.Cancelled
	}
	return dispatch.Failed
}

func retryReason(why *reason.Reason) *reason.Reason {
	switch why {
	case reason.ConnectionRefused, reason.ConnectionsBusy:
		return reason.RetryConnectionRefused
	case reason.ConnectionLost:
		return reason.RetryConnectionLost
	case reason.AnswerTruncated:
		return reason.RetryAnswerTruncated
	}
	return reason.RetryAnswerLost
}
