package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/reason"
)

// execute sends the request to targets until one answers or no attempt is left.
func (g *Gateway) execute(ctx context.Context, call *call) *result {
	var tried []int
	for {
		index, ok := call.service.Policy.Pick(balancer.Request{Now: g.now(), Random: randomNumber(), Excluded: tried})
		if !ok {
			return refused(reason.NoTarget)
		}
		tried = append(tried, index)
		outcome := g.attempt(ctx, call, index)
		call.attempts--
		call.noteEnd(outcome.why)
		retry := retryReason(outcome.why, call)
		if retry == nil || !call.service.Retries.Take() {
			return outcome
		}
		g.counter.Retried(call.serviceName, retry)
		g.log.Debug("Retrying on another target.", "service", call.serviceName, "reason", retry.Name, "error", outcome.cause)
		outcome.release()
	}
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
	if !call.class.Repeatable {
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
