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
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/transport"
)

// connectionHeaders concern one connection, or are set anew for each message.
var perHopHeaders = func() map[string]bool {
	names := map[string]bool{"Content-Length": true, "Host": true, "Expect": true}
	for _, name := range header.HopByHop() {
		names[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return names
}()

// buildRequest copies the caller's request without the headers that concern its connection.
func (g *Gateway) buildRequest(request *protocol.Request, call *call, targetID string) {
	source := &call.request.Header
	h := &request.Header
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(source.Method())
	h.SetRequestURI(call.uri)
	h.SetHostBytes(source.Host())
	lines := source.RawHeaders()
	options := framing.ConnectionOptions(lines)
	framing.Visit(lines, func(key, value []byte) {
		utils.NormalizeHeaderKey(key, false)
		if perHopHeaders[string(key)] || slices.Contains(options, string(key)) {
			return
		}
		header.AddToRequest(h, key, value)
	})
	h.Set(g.Headers.ExpectedInstance, targetID)
	request.SetBodyRaw(call.request.Body())
}

// announceClose tells the caller that its connection ends with this answer when the instance is being stopped.
func (g *Gateway) announceClose(c *app.RequestContext) {
	if g.draining.Load() {
		c.Response.Header.SetConnectionClose(true)
	}
}

// writeTimeout bounds how long a caller may take to accept an answer that is already whole.
const writeTimeout = 10 * time.Second

// writeAnswer passes a target's answer on.
func (g *Gateway) writeAnswer(c *app.RequestContext, call *call, r *result) error {
	answer := r.answer
	if !answer.Whole() && answer.Length() < 0 && !c.Request.Header.IsHTTP11() {
		return g.writeRefusal(c, call, newRefusal(reason.AnswerUnbounded))
	}
	if err := c.GetConn().SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	h, source := &c.Response.Header, answer.Response
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(source.StatusCode())
	// Without this, the library reports a content type that the target did not send.
	source.Header.SetNoDefaultContentType(true)
	source.Header.VisitAll(func(key, value []byte) {
		if !perHopHeaders[string(key)] && !slices.Contains(answer.Options, string(key)) {
			header.AddToResponse(h, key, value)
		}
	})
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		if length := source.Header.ContentLength(); length >= 0 {
			h.SetContentLength(length)
		}
	}
	g.announceClose(c)
	g.recordAnswer(call, r)
	if answer.Whole() {
		c.Response.SetBodyRaw(source.Body())
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

var lastChunk = []byte("0\r\n\r\n")

// streamBufferBytes is how much of a long answer is read and passed on at a time.
const streamBufferBytes = 32 << 10

// stream passes on an answer that is too long to be held. When it ends early, it returns an error without ending the
// body, so that the caller sees a broken transfer.
func (g *Gateway) stream(c *app.RequestContext, call *call, answer *transport.Answer) error {
	conn := c.GetConn()
	length := answer.Length()
	chunked := length < 0
	c.Response.Header.SetContentLength(max(length, -1))
	if err := resp.WriteHeader(&c.Response.Header, conn); err != nil {
		return err
	}
	err := writeBodyPart(conn, answer.Response.Body(), chunked)
	buffer := make([]byte, streamBufferBytes)
	for err == nil {
		n, readErr := answer.Read(buffer)
		if n > 0 {
			if err = writeBodyPart(conn, buffer[:n], chunked); err != nil {
				break
			}
		}
		err = readErr
	}
	if !isEOF(err) {
		g.recordBrokenAnswer(call, err)
		return err
	}
	if chunked {
		return writeBodyPart(conn, lastChunk, false)
	}
	return nil
}

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

// writeRefusal answers a request that no target answered.
func (g *Gateway) writeRefusal(c *app.RequestContext, call *call, r *result) error {
	g.recordRefusal(call, r)
	if r.reason == reason.CallerLeft || r.reason == reason.CallerLeftEarly {
		return r.reason
	}
	if err := c.GetConn().SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	g.announceClose(c)
	h := &c.Response.Header
	h.SetStatusCode(r.reason.Status)
	h.SetNoDefaultDate(true)
	if call.id != "" {
		h.Set(g.Headers.RequestID, call.id)
	}
	if r.retryAfter > 0 && r.reason.Outcome == reason.NotRun {
		h.Set("Retry-After", formatSeconds(r.retryAfter))
	}
	h.Set(header.Reason, r.reason.Name)
	h.SetContentType("text/plain; charset=utf-8")
	body := r.reason.Error() + "\n"
	c.Response.SetBodyString(body)
	if c.Request.Header.IsHead() {
		c.Response.SkipBody = true
		h.SetContentLengthBytes([]byte(strconv.Itoa(len(body))))
	}
	return writeResponse(c)
}

func formatSeconds(d time.Duration) string {
	text := strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}
