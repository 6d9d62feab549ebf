package inbound

import (
	"bytes"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// continueResponse is the interim answer to a request with Expect: 100-continue.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Limits bounds the size of requests and the time for receiving them.
type Limits struct {
	// MaxHeaderBytes is the largest accepted head, including the request line.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest accepted body.
	MaxBodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head, and BodyTimeout the time from
	// there to the end of its body, so that slow callers do not occupy goroutines forever.
	HeaderTimeout, BodyTimeout time.Duration
	// Memory is what long bodies are allocated from. Nil is unlimited.
	Memory *membudget.Grant
	// Conn is the connection of the caller, which is told of progress. It may be nil.
	Conn *Conn
}

// Refusal is the result for a request that was not read completely.
type Refusal struct {
	Reason *reason.Reason
	// Cause is the error behind the reason. It is only logged.
	Cause error
}

// refuse returns a refusal whose reason says all that is known.
func refuse(r *reason.Reason) *Refusal { return &Refusal{Reason: r, Cause: r} }

// MissingHostError reports an HTTP/1.1 request without a Host header.
type MissingHostError struct{}

func (*MissingHostError) Error() string { return "the request has no Host header" }

// AwaitRequest waits for the first byte of a request. It returns false if the connection fails or is idle for too long. It clears the
// write deadline of the last answer, which would fail the first write for the next request.
func AwaitRequest(conn network.Conn, idleTimeout time.Duration) bool {
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return false
	}
	_, err := conn.Peek(1)
	return err == nil
}

// ReadRequest reads one request into c. It returns nil, or a refusal. After a refusal the position in the input is undefined, so
// the connection must be closed.
func (l Limits) ReadRequest(c *app.RequestContext) *Refusal {
	refusal := l.ReadHead(c)
	if refusal == nil {
		refusal = l.readBody(c, c.GetConn())
	}
	if refusal != nil && l.Conn.Evicted() {
		return &Refusal{reason.CallerStalled, refusal.Cause}
	}
	return refusal
}

// ReadHead is like ReadRequest, but leaves the body unread.
func (l Limits) ReadHead(c *app.RequestContext) *Refusal {
	conn := c.GetConn()
	if err := l.Conn.setReadDeadline(conn, time.Now().Add(l.HeaderTimeout)); err != nil {
		return &Refusal{reason.BadFraming, err}
	}
	head, reader, refusal := l.readHeadBytes(conn)
	if refusal != nil {
		return refusal
	}
	if refusal := checkHead(head); refusal != nil {
		return refusal
	}
	if err := panicguard.Catch(func() error { return req.ReadHeader(&c.Request.Header, reader) }); err != nil {
		return &Refusal{reason.BadFraming, headError(err)}
	}
	if err := checkVersion(c); err != nil {
		return &Refusal{reason.BadFraming, err}
	}
	return nil
}

// checkVersion checks that a request has what its version demands, and nothing that its version does not know.
func checkVersion(c *app.RequestContext) error {
	h := &c.Request.Header
	switch {
	case h.IsHTTP11() && len(h.Host()) == 0:
		return &MissingHostError{}
	case !h.IsHTTP11() && h.ContentLength() == chunkedLength:
		return &framing.Error{Detail: "Transfer-Encoding in a request of HTTP/1.0"}
	}
	return nil
}

// HeadError reports a head that the codec rejects. It leaves out the codec's error, which quotes the head: keys of callers must not
// reach the log.
type HeadError struct{}

func (e *HeadError) Error() string { return "the codec rejects the head of the request" }

// headError returns what may be logged of an error of the codec.
func headError(err error) error {
	var panicked *panicguard.Error
	if errors.As(err, &panicked) {
		return err
	}
	return &HeadError{}
}

// checkHead validates the request line and the framing headers.
func checkHead(head []byte) *Refusal {
	line, rest, _ := bytes.Cut(head, []byte{'\n'})
	if !ValidRequestLine(bytes.TrimSuffix(line, []byte{'\r'})) {
		return refuse(reason.BadRequestLine)
	}
	if err := framing.Check(rest); err != nil {
		return &Refusal{reason.BadFraming, err}
	}
	return nil
}

// chunkedLength is the length that the codec reports for a chunked body.
const chunkedLength = -1

// readBody reads the body. It sends the interim answer first if the caller expects one.
func (l Limits) readBody(c *app.RequestContext, conn network.Conn) *Refusal {
	length := c.Request.Header.ContentLength()
	if length > l.MaxBodyBytes {
		return refuse(reason.BodyTooLarge)
	}
	if length > longBodyBytes && !l.Conn.Grow(l.Memory, length, membudget.ForBody) {
		return refuse(reason.MemoryFull)
	}
	if c.Request.Header.IsHTTP11() && c.Request.MayContinue() {
		if err := sendContinue(conn, l.BodyTimeout); err != nil {
			return &Refusal{reason.BodyTruncated, err}
		}
	}
	if err := l.Conn.setReadDeadline(conn, time.Now().Add(l.BodyTimeout)); err != nil {
		return &Refusal{reason.BodyTruncated, err}
	}
	switch {
	case length > longBodyBytes:
		return l.readLongBody(c, conn, length)
	case length == chunkedLength:
		return l.readChunkedBody(c, conn)
	}
	err := panicguard.Catch(func() error { return req.ContinueReadBody(&c.Request, conn, l.MaxBodyBytes, false) })
	if err != nil {
		return refuseBodyError(err)
	}
	return nil
}

// sendContinue sends the interim answer within a timeout.
func sendContinue(conn network.Conn, timeout time.Duration) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.WriteBinary(continueResponse); err != nil {
		return err
	}
	return conn.Flush()
}

// refuseBodyError returns the refusal of a request whose body could not be read.
func refuseBodyError(err error) *Refusal {
	var panicked *panicguard.Error
	switch {
	case errors.Is(err, hertzerrors.ErrBodyTooLarge), errors.Is(err, reason.BodyTooLarge):
		return refuse(reason.BodyTooLarge)
	case errors.Is(err, reason.MemoryFull):
		return refuse(reason.MemoryFull)
	case errors.As(err, &panicked):
		return &Refusal{reason.BadFraming, err}
	}
	return refuseReadError(err, reason.BodyTruncated)
}

// refuseReadError returns the refusal for a read error: RequestTimeout for a timeout, and fallback for any other one.
func refuseReadError(err error, fallback *reason.Reason) *Refusal {
	var timeout net.Error
	if errors.Is(err, hertzerrors.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		return &Refusal{reason.RequestTimeout, err}
	}
	return &Refusal{fallback, err}
}
