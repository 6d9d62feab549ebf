package ingress

import (
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// neverForwarded holds the canonical names of the headers that are not forwarded: they apply to one connection only, or are set
// anew for each message.
var neverForwarded = func() map[string]bool {
	names := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range header.HopByHop() {
		names[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return names
}()

// buildRequest copies the caller's request except the headers in neverForwarded and adds the id of the target. The body is
// shared, not copied.
func (g *Gateway) buildRequest(request *protocol.Request, call *call, targetID string) {
	source := &call.request.Header
	h := &request.Header
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(source.Method())
	h.SetRequestURI(call.uri)
	h.SetHostBytes(source.Host())
	rawHeaders := source.RawHeaders()
	connectionOptions := framing.ConnectionOptions(rawHeaders)
	framing.Visit(rawHeaders, func(key, value []byte) {
		utils.NormalizeHeaderKey(key, false)
		if neverForwarded[string(key)] || slices.Contains(connectionOptions, string(key)) {
			return
		}
		if call.table.RequiresKeys() && g.keyHeaders.Withholds(key) {
			return
		}
		header.AddToRequest(h, key, value)
	})
	if name := call.caller.Name(); name != "" {
		h.Set(g.Headers.Workspace, name)
	}
	h.Set(g.Headers.ExpectedInstance, targetID)
	request.SetBodyRaw(call.request.Body())
}

// announceClose sets Connection: close in the answer if the connection is closed after it: the gateway is draining, or the connection
// was evicted while its request was still arriving.
func (g *Gateway) announceClose(c *app.RequestContext, call *call) {
	if g.draining.Load() || call.conn.Evicted() {
		c.Response.Header.SetConnectionClose(true)
	}
}

// writeTimeout bounds the time for writing an answer to the caller, from its first byte on.
const writeTimeout = 10 * time.Second

// writeAnswer forwards a target's answer to the caller. An answer without a length that cannot be sent to an HTTP/1.0 caller is
// replaced by a refusal.
func (g *Gateway) writeAnswer(c *app.RequestContext, call *call, r *result) error {
	answer := r.answer
	if !answer.FullyBuffered() && answer.Length() < 0 && !c.Request.Header.IsHTTP11() {
		return g.writeRefusal(c, call, newRefusal(reason.AnswerUnbounded))
	}
	if err := c.GetConn().SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	h, source := &c.Response.Header, answer.Response
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(source.StatusCode())
	// Without this, VisitAll reports a default content type that the target did not send.
	source.Header.SetNoDefaultContentType(true)
	source.Header.VisitAll(func(key, value []byte) {
		if !neverForwarded[string(key)] && !slices.Contains(answer.ConnectionOptions, string(key)) {
			header.AddToResponse(h, key, value)
		}
	})
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		if length := source.Header.ContentLength(); length >= 0 {
			h.SetContentLength(length)
		}
	}
	g.announceClose(c, call)
	g.recordAnswer(call, r)
	call.answering = true
	call.conn.Answering()
	if body := source.Body(); answer.FullyBuffered() && (len(body) <= inbound.AnswerPartBytes || c.Response.SkipBody) {
		c.Response.SetBodyRaw(body)
		return writeResponse(c)
	}
	return g.stream(c, call, answer)
}

func writeResponse(c *app.RequestContext) error {
	if err := resp.Write(&c.Response, c.GetConn()); err != nil {
		return err
	}
	return c.GetConn().Flush()
}

// lastChunk terminates a chunked body without trailers.
var lastChunk = []byte("0\r\n\r\n")

// streamBufferBytes is the size of the buffer for streaming long answers.
const streamBufferBytes = 32 << 10

// stream forwards an answer in parts. If the answer is truncated, it returns an error and does not
// terminate the body, so that the caller detects the truncation.
func (g *Gateway) stream(c *app.RequestContext, call *call, answer *transport.Answer) error {
	conn := c.GetConn()
	length := answer.Length()
	if answer.FullyBuffered() {
		length = len(answer.Response.Body())
	}
	chunked := length < 0
	c.Response.Header.SetContentLength(max(length, -1))
	if err := resp.WriteHeader(&c.Response.Header, conn); err != nil {
		return err
	}
	err := call.conn.WriteParts(answer.Response.Body(), func(part []byte) error { return writeBodyPart(conn, part, chunked) })
	if answer.FullyBuffered() {
		return err
	}
	answer.ReleasePrefix()
	buffer := make([]byte, streamBufferBytes)
	for err == nil {
		call.conn.AwaitingPart()
		n, readErr := answer.Read(buffer)
		call.conn.Answering()
		if n > 0 {
			if err = writeBodyPart(conn, buffer[:n], chunked); err != nil {
				break
			}
		}
		err = readErr
	}
	if !isEOF(err) {
		g.recordAbortedStream(call, err)
		return err
	}
	if chunked {
		return writeBodyPart(conn, lastChunk, false)
	}
	return nil
}

// writeBodyPart writes a part of a body, as a chunk if chunked is set, and flushes the connection.
func writeBodyPart(conn network.Conn, part []byte, chunked bool) error {
	if len(part) == 0 {
		return conn.Flush()
	}
	if chunked {
		return ext.WriteChunk(conn, part, true)
	}
	if _, err := conn.WriteBinary(part); err != nil {
		return err
	}
	return conn.Flush()
}

// writeRefusal records a request that got no answer of a target that could be forwarded, and answers it. It writes nothing and
// returns the reason as error if the caller has left.
func (g *Gateway) writeRefusal(c *app.RequestContext, call *call, r *result) error {
	g.recordRefusal(call, r)
	return g.sendRefusal(c, call, r)
}

// sendRefusal writes the answer of writeRefusal.
func (g *Gateway) sendRefusal(c *app.RequestContext, call *call, r *result) error {
	if r.failure == reason.CallerLeftRunning || r.failure == reason.CallerLeftEarly {
		return r.failure
	}
	if err := c.GetConn().SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	g.announceClose(c, call)
	h := &c.Response.Header
	h.SetStatusCode(r.failure.Status)
	h.SetNoDefaultDate(true)
	if call.id != "" {
		h.Set(g.Headers.RequestID, call.id)
	}
	if r.retryAfter > 0 && r.failure.Outcome == reason.NotRun {
		h.Set("Retry-After", formatSeconds(r.retryAfter))
	}
	h.Set(header.Reason, r.failure.Name)
	h.SetContentType("text/plain; charset=utf-8")
	body := r.failure.Error() + "\n"
	c.Response.SetBodyString(body)
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		h.SetContentLengthBytes([]byte(strconv.Itoa(len(body))))
	}
	call.answering = true
	return writeResponse(c)
}

// formatSeconds formats a duration as a number of seconds with at most three decimals.
func formatSeconds(d time.Duration) string {
	text := strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}
