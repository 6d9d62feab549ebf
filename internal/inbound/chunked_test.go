package inbound

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// readChunked decodes a request with a chunked body. It returns its body, the bytes that are left for the next request, and the
// refusal.
func readChunked(raw string, limits Limits) (body, rest string, refusal *Refusal) {
	replay := startReplay(func(conn network.Conn) {
		c := app.NewContext(0)
		c.SetConn(conn)
		refusal = limits.ReadRequest(c)
		body = string(c.Request.Body())
		left, _ := io.ReadAll(conn)
		rest = string(left)
	})
	replay([]byte(chunkedHead + raw))
	return body, rest, refusal
}

// Guards against bodies that are decoded wrongly, against a decoder that accepts what other programs take for another message, and
// against one that consumes bytes of the next request.
func TestChunkedBody(t *testing.T) {
	long := strings.Repeat("x", 6000)
	for _, c := range []struct {
		name, raw, body, rest string
		refused               *reason.Reason
	}{
		{"empty", "0\r\n\r\nGET", "", "GET", nil},
		{"two chunks", "2\r\nok\r\n3 \r\nyes\r\n0\r\n\r\nGET /", "okyes", "GET /", nil},
		{"capital digits", "A\r\n0123456789\r\n0\r\n\r\n", "0123456789", "", nil},
		{"long chunk", "1770\r\n" + long + "\r\n0\r\n\r\nnext", long, "next", nil},
		{"trailer", "1\r\na\r\n0\r\nX-Sum: 1\r\n\r\nnext", "a", "next", nil},
		{"trailer without a name", "1\r\na\r\n0\r\n: x\r\n\r\nnext", "a", "next", nil},
		{"end before the trailer", "1\r\na\r\n0\r\n", "a", "", nil},
		{"extension", "1;e=1\r\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"no size", "\r\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"negative size", "-1\r\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"size that overflows", "8000000000000001\r\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"size without CR", "1\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"data without CR", "1\r\na\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"longer data", "1\r\nab\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"truncated", "5\r\nab", "", "", reason.BodyTruncated},
		{"too large", "2001\r\n", "", "", reason.BodyTooLarge},
		{"forbidden trailer", "1\r\na\r\n0\r\nContent-Length: 1\r\n\r\n", "", "", reason.BodyTruncated},
		{"trailer that is no field", "1\r\na\r\n0\r\nX Sum: 1\r\n\r\n", "", "", reason.BodyTruncated},
		{"size line without end", "1" + strings.Repeat(" ", 1000) + "\r\na\r\n0\r\n\r\n", "", "", reason.BodyTruncated},
		{"trailer without end", "0\r\n" + strings.Repeat("X: y\r\n", 2000) + "\r\n", "", "", reason.BodyTruncated},
	} {
		body, rest, refusal := readChunked(c.raw, fuzzLimits)
		if c.refused != nil {
			if refusal == nil || refusal.Reason != c.refused {
				t.Errorf("%s: refusal %+v, want %s", c.name, refusal, c.refused.Name)
			}
			continue
		}
		if refusal != nil || body != c.body || rest != c.rest {
			t.Errorf("%s: body of %d bytes, %q left, refusal %+v", c.name, len(body), rest, refusal)
		}
	}
}

// Guards against memory for a chunked body that is taken without the budget, or kept after the body was joined.
func TestChunkedBodyIsGranted(t *testing.T) {
	const bodyBytes = 200 << 10
	chunk := "2800\r\n" + strings.Repeat("x", 10<<10) + "\r\n"
	raw := strings.Repeat(chunk, bodyBytes/(10<<10)) + "0\r\n\r\n"
	limits := fuzzLimits
	limits.MaxBodyBytes = 1 << 20
	for _, c := range []struct {
		budget int64
		fits   bool
	}{{4 * bodyBytes, true}, {bodyBytes, false}} {
		budget := membudget.New(c.budget)
		limits.Memory = budget.OpenEmpty()
		body, _, refusal := readChunked(raw, limits)
		switch {
		case c.fits && (refusal != nil || len(body) != bodyBytes || budget.Used() < bodyBytes || budget.Used() > bodyBytes+longBodyBytes):
			t.Errorf("%d bytes, refusal %+v, %d bytes used", len(body), refusal, budget.Used())
		case !c.fits && (refusal == nil || refusal.Reason != reason.MemoryFull):
			t.Errorf("refusal %+v, want memory_full", refusal)
		}
	}
}

// Guards against chunked bodies for which the decoder panics, exceeds the limit, or differs from the decoder of the standard library,
// which accepts more.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{
		"0\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", "1;e\r\na\r\n0\r\nX: 1\r\n\r\n", "fffffffffffffff\r\n", "3 \r\nabc\r\n00\r\n\r\n", "1\r\na\r\n0\r\n: \r\n\r\nGET",
	} {
		f.Add([]byte(seed))
	}
	var refusal *Refusal
	c := app.NewContext(0)
	replay := startReplay(func(conn network.Conn) {
		c.Reset()
		c.SetConn(conn)
		refusal = fuzzLimits.ReadRequest(c)
	})
	f.Fuzz(func(t *testing.T, raw []byte) {
		replay(append([]byte(chunkedHead), raw...))
		var panicked *panicguard.Error
		if refusal != nil {
			if errors.As(refusal.Cause, &panicked) || refusal.Reason.Outcome != reason.NotRun {
				t.Errorf("refusal %s, cause %v", refusal.Reason.Name, refusal.Cause)
			}
			return
		}
		body := c.Request.Body()
		if len(body) > fuzzLimits.MaxBodyBytes {
			t.Errorf("a body of %d bytes was accepted, the limit is %d", len(body), fuzzLimits.MaxBodyBytes)
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw)))
		if err == nil && !bytes.Equal(body, want) {
			t.Errorf("body %q, the standard library decodes %q", body, want)
		}
	})
}
