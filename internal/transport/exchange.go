package transport

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/basillink/basillink/internal/reason"
)

// Limits bounds one exchange and its answer.
type Limits struct {
	// MaxBufferedBytes is the longest body that is read whole. A longer one is streamed.
	MaxBufferedBytes int
	// MaxBodyBytes is the longest accepted body.
	MaxBodyBytes int
	// Accept reports whether an answer belongs to the request. Fresh is true while nothing else was exchanged on the
	// connection, so that no late answer to an earlier request can come. Other answers are skipped, and the connection is
	// not used again. Nil accepts every answer.
	Accept func(head *protocol.ResponseHeader, fresh bool) bool
	// AllowCloseDelimited accepts bodies that end with an orderly close of the connection.
	AllowCloseDelimited bool
	// ConnectTimeout bounds the opening of a connection. 0 leaves it to the context.
	ConnectTimeout time.Duration
	// CheckAfterIdle is how long the connection may have been unused. An older one must answer a check first, which costs a
	// round trip. 0 asks for no check.
	CheckAfterIdle time.Duration
}

// RoundTrip sends a request to the pool's address once and reads the answer. A body of at most limits.MaxBufferedBytes is read
// whole; the rest of a longer one is read by Answer.Read. The context bounds the exchange until the answer is
// closed. Every error is an *ExchangeError. The request is never sent a second time, and a connection on which an
// exchange did not end cleanly is closed.
//
// Prepare, unless it is nil, is called when a connection is at hand, just before the write. It receives the remaining
// time, which is 0 without a deadline. If it fails, nothing is sent.
func (p *Pool) RoundTrip(ctx context.Context, request *protocol.Request, limits Limits, prepare PrepareFunc) (*Answer, error) {
	conn, err := p.acquireWithin(ctx, limits)
	if err != nil {
		return nil, p.connectError(ctx, err)
	}
	remaining, err := remainingTime(ctx)
	if err != nil {
		p.release(conn)
		return nil, p.connectError(ctx, err)
	}
	if prepare != nil {
		if err := prepare(request, remaining); err != nil {
			p.release(conn)
			return nil, &ExchangeError{Reason: reason.ConnectionLost, Address: p.address, Err: err}
		}
	}
	answer := newAnswer(p, conn, limits)
	if err := answer.begin(ctx, eventBegin); err != nil {
		answer.Close()
		return nil, p.exchangeError(ctx, err, conn, false)
	}
	p.watch(conn)
	if err := conn.run(ctx, request, answer); err != nil {
		failure := answer.fail(err)
		answer.Close()
		return nil, failure
	}
	if answer.remainder == nil {
		answer.finish()
	}
	return answer, nil
}

// PrepareFunc completes a request just before it is written.
type PrepareFunc func(request *protocol.Request, remaining time.Duration) error

// shortestExchange is the least time in which an exchange may be started, the resolution of the remaining time that a
// target is told.
const shortestExchange = time.Millisecond

func remainingTime(ctx context.Context) (time.Duration, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, ctx.Err()
	}
	remaining := time.Until(deadline)
	if remaining < shortestExchange {
		return 0, context.DeadlineExceeded
	}
	return remaining, ctx.Err()
}

// Exchange sends a request and reads the whole answer, of at most maxAnswer bytes, into response.
// Every error is an *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, request *protocol.Request, response *protocol.Response, maxAnswer int) error {
	answer, err := p.RoundTrip(ctx, request, Limits{MaxBufferedBytes: maxAnswer + 1, MaxBodyBytes: maxAnswer}, nil)
	if err != nil {
		return err
	}
	defer answer.Close()
	answer.Response.CopyTo(response)
	return nil
}

func (c *Conn) run(ctx context.Context, request *protocol.Request, answer *Answer) error {
	deadline, _ := ctx.Deadline()
	if err := c.raw.SetDeadline(deadline); err != nil {
		return err
	}
	if len(request.Body()) > writeBufferBytes {
		return c.runLong(request, answer)
	}
	if err := c.send(request); err != nil {
		return err
	}
	return c.readAnswer(request, answer)
}

func (c *Conn) send(request *protocol.Request) error {
	if err := req.Write(request, c); err != nil {
		return err
	}
	return c.Flush()
}

// runLong reads the answer while the body is still being written, because a peer may answer without reading on. The rest
// of the body is then not sent, and the connection carries no further exchange.
func (c *Conn) runLong(request *protocol.Request, answer *Answer) error {
	sent := make(chan error, 1)
	go func() { sent <- c.send(request) }()
	err := c.readAnswer(request, answer)
	select {
	case sendErr := <-sent:
		c.spoiled = c.spoiled || sendErr != nil
		return err
	default:
	}
	c.spoiled = true
	if err != nil || answer.remainder == nil {
		c.closeSocket()
		// The answer decides; the rest of the body was cut off on purpose.
		if cut := <-sent; err == nil && cut == nil {
			c.spoiled = true
		}
	}
	return err
}

// acquireWithin returns a connection for an exchange. The time for opening one is bounded apart from the exchange.
func (p *Pool) acquireWithin(ctx context.Context, limits Limits) (*Conn, error) {
	if limits.ConnectTimeout <= 0 {
		return p.acquire(ctx, limits.CheckAfterIdle)
	}
	connect, cancel := context.WithTimeout(ctx, limits.ConnectTimeout)
	defer cancel()
	conn, err := p.acquire(connect, limits.CheckAfterIdle)
	if err != nil && connect.Err() != nil && ctx.Err() == nil {
		return nil, &ConnectTimeoutError{p.address, limits.ConnectTimeout}
	}
	return conn, err
}

// rest makes the connection ready for the pool. Its deadline stays; the next exchange sets its own.
func (c *Conn) rest() {
	c.lastUsed = time.Now()
	c.restoreKeepAlive()
}
