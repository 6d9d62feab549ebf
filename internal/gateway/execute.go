package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/reason"
)

// execute sends the request to targets until one answers or no further attempt is permitted. If an earlier attempt may
// have run the request, the result does not claim that it was not run.
func (g *Gateway) execute(ctx context.Context, call *call) *result {
	if g.ObserveRequest != nil {
		g.ObserveRequest(call.service)
	}
	r := g.executeAttempts(ctx, call)
	if call.maybeRan && r.outcome() == reason.NotRun {
		r.outcomeOverride = reason.Unknown
	}
	return r
}

// executeAttempts returns the result of the last attempt.
func (g *Gateway) executeAttempts(ctx context.Context, call *call) *result {
	var attempted []int
	var failure *reason.Reason
	for {
		index, r, refusal := g.executeAttempt(ctx, call, attempted)
		if refusal != nil {
			return newRefusal(moreSpecific(failure, refusal))
		}
		attempted = append(attempted, index)
		call.maybeRan = call.maybeRan || r.outcome() != reason.NotRun
		call.attemptsLeft--
		call.recordResult(r.failureReason)
		retry := retryReason(r.failureReason, call)
		if retry == nil || !call.service.Retries.Take() {
			return r
		}
		g.counter.Retried(call.serviceName, retry)
		g.log.Debug("Sending to a further target.", "service", call.serviceName, "reason", retry.Name, "error", r.cause)
		failure = r.failureReason
		r.release()
	}
}

// executeAttempt sends the request to one target once the crash guard admits it. It returns the index of the target and the
// result, or the reason why the request was not sent.
func (g *Gateway) executeAttempt(ctx context.Context, call *call, attempted []int) (index int, r *result, refusal *reason.Reason) {
	admission, refusal := g.awaitCrashAdmission(ctx, call)
	if refusal != nil {
		return 0, nil, refusal
	}
	defer admission.Release()
	if index, refusal = g.pick(ctx, call, &admission, attempted); refusal != nil {
		return 0, nil, refusal
	}
	r = g.attempt(ctx, call, index)
	returned := false
	defer func() {
		if !returned {
			r.release()
		}
	}()
	g.reportAttempt(ctx, call, call.service.Targets[index].Address, r)
	returned = true
	return index, r, nil
}

// moreSpecific returns the failure of the last attempt if the refusal only says that no further target is left.
func moreSpecific(failure, refusal *reason.Reason) *reason.Reason {
	if failure != nil && refusal == reason.NoTarget {
		return failure
	}
	return refusal
}

// retryReason returns the reason for sending the request to a further target, or nil if it must not be retried. Requests
// that run at most once are retried only if the target provably did not run them.
func retryReason(failure *reason.Reason, call *call) *reason.Reason {
	if failure == nil || call.attemptsLeft <= 0 {
		return nil
	}
	switch failure {
	case reason.TargetShed:
		return reason.RetryTargetShed
	case reason.ConnectionRefused:
		return reason.RetryConnectionRefused
	case reason.ConnectionLost:
		return reason.RetryConnectionLost
	}
	if call.atMostOnce {
		return nil
	}
	switch failure {
	case reason.AnswerLost:
		return reason.RetryAnswerLost
	case reason.AnswerTruncated:
		return reason.RetryAnswerTruncated
	case reason.ConnectionSilent:
		return reason.RetryConnectionSilent
	}
	return nil
}
