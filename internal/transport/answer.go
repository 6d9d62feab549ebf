package transport

import (
	"context"
	"io"
	"slices"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/chart"
)

// Answer is the answer of a target. It is not safe for concurrent use. It must be closed.
type Answer struct {
	// Response holds the head and the part of the body that RoundTrip has read.
	Response *protocol.Response
	// ConnectionOptions are the options of the Connection headers in canonical form.
	ConnectionOptions []string

	pool   *Pool
	conn   *Conn
	limits Limits
	ctx    context.Context
	// stopAbort cancels the call of conn.abort at the end of ctx. It returns false if that call has started.
	stopAbort func() bool
	// remainder reads the part of the body that follows Response.Body. It is nil if there is no such part.
	remainder io.Reader
	// chunked is true if the body uses chunked encoding.
	chunked bool
	// closeDelimited is true if the body ends with an orderly close of the connection.
	closeDelimited bool
	// length is the length that the head announces for the body, in bytes.
	length int
	// body is the buffer behind Response.Body, and granted the part of it that was allocated from limits.Memory.
	body    []byte
	granted int
	// bytesRead counts the bytes of the body that were read.
	bytesRead int
}

func newAnswer(p *Pool, conn *Conn, limits Limits) *Answer {
	return &Answer{Response: protocol.AcquireResponse(), pool: p, conn: conn, limits: limits}
}

// begin starts an exchange (eventBegin) or a check (eventCheck). When the context is done, the connection is closed, which
// cancels the request. If the state chart refuses the event, the connection is discarded.
func (a *Answer) begin(ctx context.Context, event chart.EventID) error {
	conn := a.conn
	if err := conn.begin(event); err != nil {
		a.conn = nil
		a.pool.discard(conn)
		return err
	}
	a.ctx = ctx
	a.stopAbort = context.AfterFunc(ctx, conn.abort)
	return nil
}

// returnUnused returns the connection to the pool before an exchange has begun on it.
func (a *Answer) returnUnused() {
	conn := a.conn
	a.conn = nil
	a.pool.release(conn)
}

// FullyBuffered reports whether Response holds the whole body.
func (a *Answer) FullyBuffered() bool { return a.remainder == nil }

// Length returns the length of the body in bytes, or -1 if it is not known before the end of the body.
func (a *Answer) Length() int {
	switch {
	case a.remainder == nil:
		return len(a.Response.Body())
	case a.chunked || a.closeDelimited:
		return -1
	}
	return a.length
}

// Read reads the part of the body that follows Response.Body. It returns io.EOF only at the end of a complete body; any
// other error is an *ExchangeError.
func (a *Answer) Read(p []byte) (int, error) {
	if a.remainder == nil {
		return 0, io.EOF
	}
	n, err := a.remainder.Read(p)
	a.bytesRead += n
	if err == io.EOF {
		err = a.checkBodyEnd()
	}
	switch {
	case a.bytesRead > a.limits.MaxBodyBytes:
		return 0, a.fail(&AnswerSizeError{a.limits.MaxBodyBytes})
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.finish()
		return n, io.EOF
	}
	return n, a.fail(&TruncatedAnswerError{err})
}

// Close releases the answer. If the body was not read to its end, the exchange is aborted. Further calls have no effect.
func (a *Answer) Close() {
	switch {
	case a.conn == nil:
	case a.stopAbort == nil:
		a.pool.discard(a.conn)
		a.conn = nil
	default:
		a.abort()
	}
	if a.Response != nil {
		protocol.ReleaseResponse(a.Response)
		a.Response = nil
	}
	a.releaseBody()
}

// ReleasePrefix releases the buffered part of the body, which must not be used afterwards. The rest can still be read.
func (a *Answer) ReleasePrefix() {
	a.Response.ResetBody()
	a.releaseBody()
}

// finish ends a completed exchange. It returns the connection to the pool, or closes it if it must not be reused.
func (a *Answer) finish() {
	conn := a.conn
	a.conn, a.remainder = nil, nil
	if !a.stopAbort() {
		// The abort that begin registered may still be running. Abort here too, so that the connection is not reused and
		// the late abort cannot hit another exchange.
		conn.abort()
	}
	conn.end(eventAnswered)
	closing := a.Response.Header.ConnectionClose() || slices.Contains(a.ConnectionOptions, "Close")
	if conn.inState(stateTaken) && !closing && !conn.noReuse && conn.reader.Buffered() == 0 {
		conn.prepareIdle()
		a.pool.release(conn)
		return
	}
	a.pool.discard(conn)
}

// abort closes the connection of an unfinished exchange. It reports whether the silence check had already closed it.
func (a *Answer) abort() (silent bool) {
	conn := a.conn
	a.conn, a.remainder = nil, nil
	a.stopAbort()
	conn.end(eventAbort)
	silent = conn.inState(stateSilent)
	a.pool.discard(conn)
	return silent
}

// fail aborts the exchange and returns the error that describes the failure.
func (a *Answer) fail(err error) *ExchangeError {
	conn := a.conn
	silent := a.abort()
	return a.pool.exchangeError(a.ctx, err, conn, silent)
}
