package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/reason"
)

// execute sends the request to targets until one answers or no attempt is left.
func (g *Gateway) execute(ctx context.Context, call *call) *result {
	if g.ObserveRequest != nil {
		g.ObserveRequest(call.service)
	}
	r := g.executeAttempts(ctx, call)
	if call.maybeRan && r.outcome() == reason.NotRun {
		r.claim = reason.Unknown
	}
	return r
}

func (g *Gateway) executeAttempts(ctx context.Context, call *call) *result {
	var tried []int
	var failure *reason.Reason
	for {
		entry, refusal := g.enterGuard(ctx, call)
		if refusal != nil {
			return refused(refusal)
		}
		index, refusal := g.pick(ctx, call, &entry, tried)
		if refusal != nil {
			entry.Release()
			return refused(moreTelling(failure, refusal))
		}
		tried = append(tried, index)
		outcome := g.attempt(ctx, call, index)
		g.judge(ctx, call, call.service.Targets[index].Address, outcome)
		entry.Release()
		call.maybeRan = call.maybeRan || outcome.outcome() != reason.NotRun
		call.attempts--
		call.noteEnd(outcome.why)
		retry := retryReason(outcome.why, call)
		if retry == nil || !call.service.Retries.Take() {
			return outcome
		}
		g.counter.Retried(call.serviceName, retry)
		g.log.Debug("Retrying on another target.", "service", call.serviceName, "reason", retry.Name, "error", outcome.cause)
		failure = outcome.why
		outcome.release()
	}
}

// moreTelling returns the failure of the last attempt instead of the lack of a further target.
func moreTelling(failure, refusal *reason.Reason) *reason.Reason {
	if failure != nil && refusal == reason.NoTarget {
		return failure
	}
	return refusal
}

// retryReason says why the request may be sent to a further target, or returns nil.
func retryReason(why *reason.Reason, call *call) *reason.Reason {
	if why == nil || call.attempts <= 0 {
		return nil
	}
	switch why {
	case reason.TargetShed:
		return reason.RetryTargetShed
	case reason.ConnectionRefused:
		return reason.RetryConnectionRefused
	case reason.ConnectionLost:
		return reason.RetryConnectionLost
	}
	if call.once {
		return nil
	}
	switch why {
	case reason.AnswerLost:
		return reason.RetryAnswerLost
	case reason.AnswerTruncated:
		return reason.RetryAnswerTruncated
	case reason.ConnectionSilent:
		return reason.RetryConnectionSilent
	}
	return nil
}
