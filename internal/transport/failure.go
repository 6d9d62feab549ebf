package transport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// connectError returns the error for an exchange that got no connection. No byte of the request was sent.
func (p *Pool) connectError(ctx context.Context, err error) error {
	failureReason := reason.ConnectionRefused
	var exhausted *PoolExhaustedError
	var timeout *ConnectTimeoutError
	switch {
	case errors.As(err, &timeout) && timeout.Waited:
		failureReason = reason.ConnectionsBusy
	case errors.As(err, &exhausted):
		failureReason = contextReason(ctx, reason.ConnectionsBusy, reason.CallerLeftEarly)
	case errors.Is(err, context.DeadlineExceeded) || ContextDone(ctx):
		failureReason = contextReason(ctx, reason.DeadlineTooShort, reason.CallerLeftEarly)
	}
	return &ExchangeError{Reason: failureReason, Address: p.address, Err: err}
}

// exchangeError returns the error for a failed exchange. The request is reported as not sent only if the kernel accepted
// no byte of it; otherwise it may have reached the target. silent is true if the silence check closed the connection.
func (p *Pool) exchangeError(ctx context.Context, err error, conn *Conn, silent bool) *ExchangeError {
	failure := &ExchangeError{Sent: conn.wroteBytes.Load(), Address: p.address, Err: err}
	switch {
	case !failure.Sent:
		failure.Reason = unsentReason(ctx)
	case silent:
		failure.Reason = reason.ConnectionSilent
	case ContextDone(ctx):
		failure.Reason = contextReason(ctx, reason.AnswerTimeout, reason.CallerLeftRunning)
	default:
		failure.Reason = answerReason(err, conn.socketErr())
	}
	return failure
}

// unsentReason returns the reason for an exchange that failed before a byte was written.
func unsentReason(ctx context.Context) *reason.Reason {
	if ContextDone(ctx) {
		return contextReason(ctx, reason.DeadlineTooShort, reason.CallerLeftEarly)
	}
	return reason.ConnectionLost
}

// answerReason returns the reason for an exchange that failed with err while the answer was read. socketErr is the error
// of the connection, or nil if the connection works and the answer is not acceptable.
func answerReason(err, socketErr error) *reason.Reason {
	var timeout net.Error
	var unbounded *UnboundedAnswerError
	var size *AnswerSizeError
	var truncated *TruncatedAnswerError
	switch {
	case errors.As(err, &unbounded):
		return reason.AnswerUnbounded
	case errors.As(err, &size):
		return reason.AnswerTooLarge
	case errors.As(socketErr, &timeout) && timeout.Timeout():
		return reason.AnswerTimeout
	case socketErr == nil:
		return reason.AnswerMalformed
	case errors.As(err, &truncated):
		return reason.AnswerTruncated
	}
	return reason.AnswerLost
}

// contextReason returns cancelled if the context was cancelled, and expired otherwise.
func contextReason(ctx context.Context, expired, cancelled *reason.Reason) *reason.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cancelled
	}
	return expired
}

// ContextDone reports whether the context was cancelled or its deadline has passed. It also compares the deadline with the
// clock, because the deadline of a connection may fire before the timer of the context.
func ContextDone(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) <= 0
}
