package transport

import (
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"slices"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/chart"
)

// Answer is the answer of a target. It is used by one goroutine, which must call Close.
type Answer struct {
	// Response holds the head and, of the body, the part that was read by Start.
	Response *protocol.Response
	// Options are the options of the target's Connection headers in canonical form.
	Options []string

	pool   *Pool
	conn   *Conn
	limits Limits
	ctx    context.Context
	stop   func() bool
	// remainder reads the part of the body that follows Response.Body. It is nil when the body is whole.
	remainder io.Reader
	// chunked is true when the body has chunks instead of a length.
	chunked bool
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

// Whole reports whether Response holds the whole body.
func (a *Answer) Whole() bool { return a.remainder == nil }

// Length returns the length of the body, or -1 when it is not known before the end.
func (a *Answer) Length() int {
	switch {
	case a.remainder == nil:
		return len(a.Response.Body())
	case a.chunked:
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
	case a.read > a.limits.MaxBytes:
		return 0, a.fail(&AnswerSizeError{a.limits.MaxBytes})
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
	closing := a.Response.Header.ConnectionClose() || slices.Contains(a.Options, "Close")
	if conn.is(stateTaken) && !closing && conn.reader.Buffered() == 0 {
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

// endOfBody checks that the body is whole. It returns io.EOF if so.
func (a *Answer) endOfBody() error {
	if !a.chunked {
		if limited, ok := a.remainder.(*io.LimitedReader); ok && limited.N > 0 {
			return io.ErrUnexpectedEOF
		}
		return io.EOF
	}
	if err := a.conn.skipTrailer(); err != nil {
		return err
	}
	return io.EOF
}

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are not passed on.
const maxTrailerBytes = 8 << 10

// skipTrailer reads the lines after the last chunk through the empty line.
func (c *Conn) skipTrailer() error {
	total := 0
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return unexpected(err)
		}
		if len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return nil
		}
		if total += len(line); total > maxTrailerBytes {
			return &MalformedAnswerError{"the trailer is too long"}
		}
	}
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readAnswer reads the head and the first part of the body.
func (c *Conn) readAnswer(request *protocol.Request, answer *Answer) error {
	response := answer.Response
	if err := c.readHead(answer); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if response.MustSkipBody() {
		return nil
	}
	answer.length = response.Header.ContentLength()
	switch {
	case answer.length == unboundedLength:
		return &UnboundedAnswerError{}
	case answer.length < 0:
		answer.chunked = true
		answer.remainder = httputil.NewChunkedReader(c.reader)
	case answer.length == 0:
		return nil
	case answer.length > answer.limits.MaxBytes:
		return &AnswerSizeError{answer.limits.MaxBytes}
	default:
		answer.remainder = &io.LimitedReader{R: c.reader, N: int64(answer.length)}
	}
	if err := answer.readPrefix(); err != nil {
		return err
	}
	if answer.read > answer.limits.MaxBytes {
		return &AnswerSizeError{answer.limits.MaxBytes}
	}
	return nil
}

// readPrefix reads at most limits.WholeBytes of the body, and ends the exchange if that is all.
func (a *Answer) readPrefix() error {
	size := a.length
	if a.chunked {
		size = firstChunkedBytes
	}
	a.body = takeBuffer(min(size, a.limits.WholeBytes))
	err := a.fill()
	a.Response.SetBodyRaw(a.body)
	return err
}

// firstChunkedBytes is the first buffer for a body of unknown length.
const firstChunkedBytes = 4 << 10

func (a *Answer) fill() error {
	for len(a.body) < a.limits.WholeBytes {
		if len(a.body) == cap(a.body) {
			a.growBody()
		}
		end := min(cap(a.body), a.limits.WholeBytes)
		n, err := a.remainder.Read(a.body[len(a.body):end])
		a.body = a.body[:len(a.body)+n]
		a.read = len(a.body)
		if err != nil || !a.chunked && len(a.body) == a.length {
			return a.prefixEnd(err)
		}
	}
	return nil
}

func (a *Answer) growBody() {
	grown := append(takeBuffer(2*cap(a.body)), a.body...)
	keepBuffer(a.body)
	a.body = grown
}

// prefixEnd handles the end of the body within the prefix.
func (a *Answer) prefixEnd(err error) error {
	if err == nil || err == io.EOF {
		err = a.endOfBody()
	}
	if err != io.EOF {
		return &TruncatedAnswerError{err}
	}
	a.remainder = nil
	return nil
}
