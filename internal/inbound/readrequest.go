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
	"github.com/basillink/basillink/internal/reason"
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// Limits bounds the requests of callers.
type Limits struct {
	// MaxHeaderBytes is the largest accepted head.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest accepted body.
	MaxBodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head, and BodyTimeout that to the
	// end of its body, so that slow senders do not hold goroutines for ever.
	HeaderTimeout, BodyTimeout time.Duration
}

// Receive reads one request. A refusal means that the rest of the connection cannot be understood.
func (l Limits) ReadRequest(c *app.RequestContext) *reason.Reason {
	conn := c.GetConn()
	if err := conn.SetReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return reason.BadFraming
	}
	head, refusal := l.peekHead(conn)
	if refusal != nil {
		return refusal
	}
	if refusal := checkHead(head); refusal != nil {
		return refusal
	}
	if err := req.ReadHeader(&c.Request.Header, conn); err != nil {
		return reason.BadFraming
	}
	if c.Request.Header.IsHTTP11() && len(c.Request.Header.Host()) == 0 {
		return reason.BadFraming
	}
	return l.receiveBody(c, conn)
}

// peekHead waits for a whole head and does not consume it.
func (l Limits) peekHead(conn network.Conn) ([]byte, *reason.Reason) {
	for wanted := 1; ; {
		if _, err := conn.Peek(wanted); err != nil {
			return nil, receiveError(err, reason.BadFraming)
		}
		available, err := conn.Peek(conn.Len())
		if err != nil {
			return nil, reason.BadFraming
		}
		end := framing.HeadEnd(available)
		if end > l.MaxHeaderBytes || end == 0 && len(available) > l.MaxHeaderBytes {
			return nil, reason.HeaderTooLarge
		}
		if end > 0 {
			return available[:end], nil
		}
		if malformedStart(available) {
			return nil, reason.BadRequestLine
		}
		wanted = len(available) + 1
	}
}

// malformedStart reports whether a line is complete and is no request line, so that a caller of another protocol does
// not wait for the end of a head.
func malformedStart(available []byte) bool {
	line, _, found := bytes.Cut(available, []byte{'\n'})
	return found && !ValidRequestLine(bytes.TrimSuffix(line, []byte{'\r'}))
}

func checkHead(head []byte) *reason.Reason {
	line, rest, _ := bytes.Cut(head, []byte{'\n'})
	if !ValidRequestLine(bytes.TrimSuffix(line, []byte{'\r'})) {
		return reason.BadRequestLine
	}
	if framing.Check(rest) != nil {
		return reason.BadFraming
	}
	return nil
}

func (l Limits) receiveBody(c *app.RequestContext, conn network.Conn) *reason.Reason {
	if c.Request.Header.ContentLength() > l.MaxBodyBytes {
		return reason.BodyTooLarge
	}
	if c.Request.MayContinue() {
		if _, err := conn.WriteBinary(continueLine); err != nil {
			return reason.BodyTruncated
		}
		if err := conn.Flush(); err != nil {
			return reason.BodyTruncated
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(l.BodyTimeout)); err != nil {
		return reason.BodyTruncated
	}
	err := req.ContinueReadBody(&c.Request, conn, l.MaxBodyBytes, false)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return reason.BodyTooLarge
	}
	return receiveError(err, reason.BodyTruncated)
}

// receiveError tells a slow caller from one that sent something else than announced.
func receiveError(err error, otherwise *reason.Reason) *reason.Reason {
	var timeout net.Error
	if errors.Is(err, hertzerrors.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		return reason.RequestTimeout
	}
	return otherwise
}
