package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// connectError describes why no connection was available. No byte of the request was sent.
func (p *Pool) connectError(ctx context.Context, err error) error {
	cause := reason.ConnectionRefused
	var limit *PoolExhaustedError
	switch {
	case errors.As(err, &limit):
		cause = contextReason(ctx, reason.ConnectionsBusy, reason.CallerLeftEarly)
	case errors.Is(err, context.DeadlineExceeded) || ContextDone(ctx):
		cause = contextReason(ctx, reason.DeadlineTooShort, reason.CallerLeftEarly)
	}
	return &ExchangeError{Reason: cause, Address: p.address, Err: err}
}

// exchangeError describes a failed exchange. The request provably did not reach the target only when the kernel took
// no byte of it.
func (p *Pool) exchangeError(ctx context.Context, err error, conn *Conn, silent bool) *ExchangeError {
	failure := &ExchangeError{Sent: conn.written.Load(), Address: p.address, Err: err}
	switch {
	case !failure.Sent:
		failure.Reason = unsentReason(ctx)
	case silent:
		failure.Reason = reason.ConnectionSilent
	case ContextDone(ctx):
		failure.Reason = contextReason(ctx, reason.AnswerTimeout, reason.CallerLeftRunning)
	default:
		failure.Reason = answerReason(err, conn.failed())
	}
	return failure
}

func unsentReason(ctx context.Context) *reason.Reason {
	if ContextDone(ctx) {
		return contextReason(ctx, reason.DeadlineTooShort, reason.CallerLeftEarly)
	}
	return reason.ConnectionLost
}

// answerReason tells a broken connection from an answer that the balancer does not accept.
func answerReason(err, socket error) *reason.Reason {
	var timeout net.Error
	var unbounded *UnboundedAnswerError
	var size *AnswerSizeError
	var truncated *TruncatedAnswerError
	switch {
	case errors.As(err, &unbounded):
		return reason.AnswerUnbounded
	case errors.As(err, &size):
		return reason.AnswerTooLarge
	case errors.As(socket, &timeout) && timeout.Timeout():
		return reason.AnswerTimeout
	case socket == nil:
		return reason.AnswerMalformed
	case errors.As(err, &truncated):
		return reason.AnswerTruncated
	}
	return reason.AnswerLost
}

func contextReason(ctx context.Context, expired, cancelled *reason.Reason) *reason.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cancelled
	}
	return expired
}

// ContextDone reports whether a request was cancelled or is out of time. It looks at the clock too, because the deadline of a
// connection may fire before the timer of the context.
func ContextDone(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) <= 0
}
