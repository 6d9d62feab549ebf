package transport

import (
	"context"
	"io"
	"slices"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/chart"
)

// Answer is the answer of a target. It is used by one goroutine, which must call Close.
type Answer struct {
	// Response holds the head and, of the body, the part that was read by Start.
	Response *protocol.Response
	// ConnectionOptions are the options of the target's Connection headers in canonical form.
	ConnectionOptions []string

	pool   *Pool
	conn   *Conn
	limits Limits
	ctx    context.Context
	stop   func() bool
	// remainder reads the part of the body that follows Response.Body. It is nil when the body is whole.
	remainder io.Reader
	// chunked is true when the body has chunks instead of a length.
	chunked bool
	// closeDelimited is true when the body ends with an orderly close of the connection.
	closeDelimited bool
	// length is the announced length of the body.
	length int
	// body is the buffer behind Response.Body.
	body []byte
	// read counts the bytes of the body that were read.
	read int
}

func newAnswer(p *Pool, conn *Conn, limits Limits) *Answer {
	return &Answer{Response: protocol.AcquireResponse(), pool: p, conn: conn, limits: limits}
}

// begin starts an exchange by eventBegin or a check by eventCheck, and binds it to the context: when it ends, the
// connection is closed, which cancels the request. A connection that may not carry it is discarded.
func (a *Answer) begin(ctx context.Context, event chart.EventID) error {
	conn := a.conn
	if err := conn.begin(event); err != nil {
		a.conn = nil
		a.pool.discard(conn)
		return err
	}
	a.ctx = ctx
	a.stop = context.AfterFunc(ctx, conn.interrupt)
	return nil
}

// FullyBuffered reports whether Response holds the whole body.
func (a *Answer) FullyBuffered() bool { return a.remainder == nil }

// Length returns the length of the body, or -1 when it is not known before the end.
func (a *Answer) Length() int {
	switch {
	case a.remainder == nil:
		return len(a.Response.Body())
	case a.chunked || a.closeDelimited:
		return -1
	}
	return a.length
}

// Read reads the part of the body that follows Response.Body. It returns io.EOF only when the body is whole; any other
// error is an *ExchangeError.
func (a *Answer) Read(p []byte) (int, error) {
	if a.remainder == nil {
		return 0, io.EOF
	}
	n, err := a.remainder.Read(p)
	a.read += n
	if err == io.EOF {
		err = a.endOfBody()
	}
	switch {
	case a.read > a.limits.MaxBodyBytes:
		return 0, a.fail(&AnswerSizeError{a.limits.MaxBodyBytes})
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.finish()
		return n, io.EOF
	}
	return n, a.fail(&TruncatedAnswerError{err})
}

// Close releases the answer. An exchange whose body was not read to its end is cancelled.
func (a *Answer) Close() {
	if a.conn != nil {
		a.drop()
	}
	if a.Response != nil {
		protocol.ReleaseResponse(a.Response)
		a.Response = nil
	}
	if a.body != nil {
		keepBuffer(a.body)
		a.body = nil
	}
}

// finish ends the exchange cleanly and returns the connection to the pool unless it must not be used again.
func (a *Answer) finish() {
	conn := a.conn
	a.conn, a.remainder = nil, nil
	if !a.stop() {
		// The function of begin runs or has run. It must not meet a later exchange.
		conn.interrupt()
	}
	conn.end(eventAnswered)
	closing := a.Response.Header.ConnectionClose() || slices.Contains(a.ConnectionOptions, "Close")
	if conn.is(stateTaken) && !closing && !conn.spoiled && conn.reader.Buffered() == 0 {
		conn.rest()
		a.pool.release(conn)
		return
	}
	a.pool.discard(conn)
}

// drop closes the connection of an exchange that did not end. It reports whether the watch found it silent.
func (a *Answer) drop() (silent bool) {
	conn := a.conn
	a.conn, a.remainder = nil, nil
	a.stop()
	conn.end(eventAbort)
	silent = conn.is(stateSilent)
	a.pool.discard(conn)
	return silent
}

// fail drops the exchange and describes why.
func (a *Answer) fail(err error) *ExchangeError {
	conn := a.conn
	silent := a.drop()
	return a.pool.exchangeError(a.ctx, err, conn, silent)
}
