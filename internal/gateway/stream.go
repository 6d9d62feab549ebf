package gateway

import (
	"errors"
	"io"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/transport"
)

// streamBufferBytes is the buffer size for copying a streamed answer to the caller.
const streamBufferBytes = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// lastChunk ends a body with chunked encoding.
var lastChunk = []byte("0\r\n\r\n")

// stream forwards an answer in parts. If the target's answer breaks off, stream returns an error
// without terminating the body, so that the caller recognizes an incomplete transfer.
func (g *Gateway) stream(c *app.RequestContext, call *call, r *result) error {
	conn := c.GetConn()
	length := r.answer.Length()
	if r.answer.FullyBuffered() {
		length = len(r.answer.Response.Body())
	}
	c.Response.Header.SetContentLength(max(length, -1))
	g.beginAnswer(c, call)
	if err := resp.WriteHeader(&c.Response.Header, conn); err != nil {
		return err
	}
	chunked := length < 0
	writePart := func(part []byte) error { return writeBodyPart(conn, part, chunked) }
	if err := call.conn.WriteParts(r.answer.Response.Body(), writePart); err != nil || r.answer.FullyBuffered() {
		return err
	}
	err := copyBody(conn, call.conn, r.answer, chunked)
	var failure *transport.ExchangeError
	if errors.As(err, &failure) {
		r.finish(failure)
		g.counter.Refused(call.serviceName, failure.Reason)
		g.log.Debug("Aborted a streamed answer.", "service", call.serviceName, "reason", failure.Reason.Name, "error", failure)
	}
	return err
}

// copyBody copies the rest of an answer's body to conn.
func copyBody(conn network.Conn, tracked *inbound.Conn, answer *transport.Answer, chunked bool) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		tracked.AwaitingPart()
		n, readErr := answer.Read(buffer[:])
		tracked.Answering()
		if n > 0 {
			if err := writeBodyPart(conn, buffer[:n], chunked); err != nil {
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

// writeBodyPart writes and flushes a part of the body, as one chunk if chunked. An empty part only flushes.
func writeBodyPart(conn network.Conn, part []byte, chunked bool) error {
	switch {
	case len(part) == 0:
		return conn.Flush()
	case chunked:
		return ext.WriteChunk(conn, part, true)
	}
	return writeRaw(conn, part)
}

// writeRaw writes and flushes b.
func writeRaw(conn network.Conn, b []byte) error {
	if _, err := conn.WriteBinary(b); err != nil {
		return err
	}
	return conn.Flush()
}
