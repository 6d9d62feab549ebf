package transport

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
)

// Limits bounds one exchange and its answer.
type Limits struct {
	// MaxBufferedBytes bounds the part of the body that RoundTrip reads into memory. The rest of a longer body is read
	// with Answer.Read.
	MaxBufferedBytes int
	// MaxBodyBytes is the maximum length of an accepted body.
	MaxBodyBytes int
	// Memory is what the buffered part of the body is allocated from. When it has no more, RoundTrip buffers less. Nil is
	// unlimited.
	Memory *membudget.Grant
	// Accept reports whether an answer belongs to the request. firstExchange is true if the connection has carried no
	// earlier exchange or check, so that the answer cannot be a late one to an earlier request. Rejected answers are
	// skipped, and the connection is not reused. Nil accepts every answer.
	Accept func(head *protocol.ResponseHeader, firstExchange bool) bool
	// AllowCloseDelimited accepts bodies that end with an orderly close of the connection.
	AllowCloseDelimited bool
	// ConnectTimeout bounds the wait for a turn in the pool, and then the time to open a connection. 0 means that only the
	// context bounds them. Time in which the process does not run does not count.
	ConnectTimeout time.Duration
	// CheckAfterIdle is the idle time from which on a pooled connection is checked before use, which costs a round trip.
	// 0 disables the check.
	CheckAfterIdle time.Duration
}

// RoundTrip sends a request to the pool's address once and reads the head of the answer and at most
// limits.MaxBufferedBytes of its body. The rest of a longer body is read with Answer.Read. The context bounds the exchange
// until the answer is closed. The request is never sent a second time, and the connection of an exchange that did not
// complete is closed.
//
// If prepare is not nil, it is called once a connection has been obtained, just before the request is written. If it
// fails, nothing is sent.
//
// Every error is an *ExchangeError.
func (p *Pool) RoundTrip(ctx context.Context, request *protocol.Request, limits Limits, prepare PrepareFunc) (*Answer, error) {
	conn, err := p.acquire(ctx, limits)
	if err != nil {
		return nil, p.connectError(ctx, err)
	}
	answer := newAnswer(p, conn, limits)
	returned := false
	defer func() {
		if !returned {
			// A panic passes through. The connection and the memory of the answer must not stay in use.
			answer.Close()
		}
	}()
	err = p.runExchange(ctx, request, answer, prepare)
	returned = true
	if err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// runExchange sends a request on the connection of the answer, and reads the answer as RoundTrip does. Every error is an
// *ExchangeError; the connection is then released or closed.
func (p *Pool) runExchange(ctx context.Context, request *protocol.Request, answer *Answer, prepare PrepareFunc) error {
	conn := answer.conn
	remaining, err := remainingTime(ctx)
	if err != nil {
		answer.returnUnused()
		return p.connectError(ctx, err)
	}
	if prepare != nil {
		if err := prepare(request, remaining); err != nil {
			answer.returnUnused()
			return &ExchangeError{Reason: reason.ConnectionLost, Address: p.address, Err: err}
		}
	}
	if err := answer.begin(ctx, eventBegin); err != nil {
		return p.exchangeError(ctx, err, conn, false)
	}
	p.startSilenceTimer(conn)
	if err := conn.roundTrip(ctx, request, answer); err != nil {
		return answer.fail(err)
	}
	if answer.remainder == nil {
		answer.finish()
	} else {
		conn.limitReceiveBuffer()
	}
	return nil
}

// PrepareFunc completes a request just before it is written. remaining is the time left until the deadline, or 0 if there
// is no deadline.
type PrepareFunc func(request *protocol.Request, remaining time.Duration) error

// minExchangeTime is the minimum remaining time to start an exchange. It is the resolution of the remaining time that is
// sent to a target.
const minExchangeTime = time.Millisecond

// remainingTime returns the time until the deadline of the context, or 0 if it has none. It returns an error if the
// context is done or less than minExchangeTime is left.
func remainingTime(ctx context.Context) (time.Duration, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, ctx.Err()
	}
	remaining := time.Until(deadline)
	if remaining < minExchangeTime {
		return 0, context.DeadlineExceeded
	}
	return remaining, ctx.Err()
}

// Exchange sends a request and reads the whole answer into response. A body of more than maxBodyBytes is an error.
// Every error is an *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, request *protocol.Request, response *protocol.Response, maxBodyBytes int) error {
	answer, err := p.RoundTrip(ctx, request, Limits{MaxBufferedBytes: maxBodyBytes + 1, MaxBodyBytes: maxBodyBytes}, nil)
	if err != nil {
		return err
	}
	defer answer.Close()
	answer.Response.CopyTo(response)
	return nil
}

// roundTrip writes the request and reads the head and the first part of the body of the answer.
func (c *Conn) roundTrip(ctx context.Context, request *protocol.Request, answer *Answer) error {
	deadline, _ := ctx.Deadline()
	if err := c.raw.SetDeadline(deadline); err != nil {
		return err
	}
	if len(request.Body()) > writeBufferBytes {
		return c.roundTripLarge(request, answer)
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

// roundTripLarge reads the answer while the request body is still being written, because a peer may answer and stop
// reading. In that case the rest of the body is not sent and the connection is not reused.
func (c *Conn) roundTripLarge(request *protocol.Request, answer *Answer) error {
	upload := c.startUpload(request)
	returned := false
	defer func() {
		if !returned {
			// A panic passes through. The request is used again once this function has ended.
			c.closeSocket()
			<-upload.done
			c.noReuse = true
		}
	}()
	err := c.readAnswer(request, answer)
	returned = true
	if upload.ended() {
		c.noReuse = c.noReuse || upload.err != nil
		return err
	}
	c.noReuse = true
	if err != nil || answer.remainder == nil {
		c.closeSocket()
		<-upload.done
	}
	return err
}

// longAnswerReceiveBytes is the size of the receive buffer of a connection with a long answer. The kernel lets it grow to some
// MB while the caller reads more slowly than the target sends.
const longAnswerReceiveBytes = 64 << 10

// limitReceiveBuffer limits what the kernel holds of a long answer that is not read yet.
func (c *Conn) limitReceiveBuffer() {
	if conn, ok := c.raw.(*net.TCPConn); ok {
		// Without the limit the exchange works all the same.
		_ = conn.SetReadBuffer(longAnswerReceiveBytes)
	}
}

// prepareIdle prepares the connection for its return to the pool. It leaves the socket deadline in place, because the next
// exchange sets its own.
func (c *Conn) prepareIdle() {
	c.lastUsed = time.Now()
	c.restoreKeepAlive()
}
