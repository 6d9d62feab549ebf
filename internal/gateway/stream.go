package gateway

import (
	"errors"
	"io"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/transport"
)

// streamBufferBytes is how much of a long answer is read and passed on at a time.
const streamBufferBytes = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

var lastChunk = []byte("0\r\n\r\n")

// stream passes on an answer that is too long to be held. When the target's answer ends early, it returns an error
// without ending the body, so that the caller sees a broken transfer.
func (g *Gateway) stream(c *app.RequestContext, call *call, r *result) error {
	conn := c.GetConn()
	length := r.answer.Length()
	c.Response.Header.SetContentLength(max(length, -1))
	if err := resp.WriteHeader(&c.Response.Header, conn); err != nil {
		return err
	}
	chunked := length < 0
	if err := writePart(conn, r.answer.Response.Body(), chunked); err != nil {
		return err
	}
	err := copyBody(conn, r.answer, chunked)
	var failure *transport.ExchangeError
	if errors.As(err, &failure) {
		r.end(failure)
		g.counter.Refused(call.serviceName, failure.Reason)
		g.log.Debug("Broke off an answer.", "service", call.serviceName, "reason", failure.Reason.Name, "error", failure)
	}
	return err
}

func copyBody(conn network.Conn, answer *transport.Answer, chunked bool) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, readErr := answer.Read(buffer[:])
		if n > 0 {
			if err := writePart(conn, buffer[:n], chunked); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF && chunked:
			return writeRaw(conn, lastChunk)
		case readErr == io.EOF:
			return nil
		case readErr != nil:
			return readErr
		}
	}
}

func writePart(conn network.Conn, part []byte, chunked bool) error {
	switch {
	case len(part) == 0:
		return conn.Flush()
	case chunked:
		return ext.WriteChunk(conn, part, true)
	}
	return writeRaw(conn, part)
}

func writeRaw(conn network.Conn, b []byte) error {
	if _, err := conn.WriteBinary(b); err != nil {
		return err
	}
	return conn.Flush()
}
