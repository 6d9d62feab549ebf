package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/reason"
)

// Exchange sends a request to the pool's address and reads the whole answer, of at most
// maxAnswer bytes. Every error is an *ExchangeError. A connection on which an exchange did
// not end cleanly is closed.
func (p *Pool) Exchange(ctx context.Context, request *protocol.Request, answer *protocol.Response, maxAnswer int) error {
	conn, err := p.acquire(ctx)
	if err != nil {
		return p.connectError(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.run(ctx, request, answer, maxAnswer)
	interrupted := !stop()
	if err == nil && !interrupted && !answer.Header.ConnectionClose() {
		p.release(conn)
		return nil
	}
	p.discard(conn)
	if err == nil {
		return nil
	}
	return p.exchangeError(ctx, err)
}

func (c *Conn) run(ctx context.Context, request *protocol.Request, answer *protocol.Response, maxAnswer int) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.raw.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if err := req.Write(request, c); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	if err := c.readAnswer(request, answer, maxAnswer); err != nil {
		return err
	}
	c.uses++
	c.lastUsed = time.Now()
	return c.raw.SetDeadline(time.Time{})
}

// bodyError marks a failure after the headers of the answer were read.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return e.err.Error() }
func (e *bodyError) Unwrap() error { return e.err }

// Content lengths with a special meaning in the codec.
const unboundedLength = -2

func (c *Conn) readAnswer(request *protocol.Request, answer *protocol.Response, maxAnswer int) error {
	answer.SkipBody = request.Header.IsHead()
	if err := resp.ReadHeaders(answer, c); err != nil {
		return err
	}
	if !answer.MustSkipBody() && answer.Header.ContentLength() == unboundedLength {
		return &UnboundedAnswerError{}
	}
	if err := resp.ReadRespBody(answer, c, maxAnswer); err != nil {
		return &bodyError{err}
	}
	return nil
}

func (p *Pool) connectError(ctx context.Context, err error) error {
	cause := reason.ConnectionRefused
	if ctx.Err() != nil {
		cause = contextReason(ctx, reason.DeadlineTooShort, reason.CallerLeftEarly)
	}
	return &ExchangeError{Reason: cause, Address: p.address, Err: err}
}

func (p *Pool) exchangeError(ctx context.Context, err error) error {
	failure := &ExchangeError{Sent: true, Address: p.address, Err: err}
	var unbounded *UnboundedAnswerError
	var body *bodyError
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		failure.Reason = contextReason(ctx, reason.AnswerTimeout, reason.CallerLeft)
	case errors.As(err, &timeout) && timeout.Timeout():
		failure.Reason = reason.AnswerTimeout
	case errors.As(err, &unbounded):
		failure.Reason = reason.AnswerUnbounded
	case errors.As(err, &body):
		failure.Reason = reason.AnswerTruncated
	default:
		failure.Reason = reason.AnswerLost
	}
	return failure
}

func contextReason(ctx context.Context, expired, cancelled *reason.Reason) *reason.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return expired
	}
	return cancelled
}

func readFull(r io.Reader, p []byte) (int, error) { return io.ReadFull(r, p) }
