package inbound

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/reason"
)

// interimConn counts the interim answers.
type interimConn struct {
	network.Conn
	interim int
}

func (c *interimConn) WriteBinary(b []byte) (int, error) {
	c.interim++
	return len(b), nil
}

func (c *interimConn) Flush() error { return nil }

// readRaw reads a request. It returns the number of interim answers, and the refusal.
func readRaw(raw string) (interim int, refusal *Refusal) {
	replay := startReplay(func(conn network.Conn) {
		counted := &interimConn{Conn: conn}
		c := app.NewContext(0)
		c.SetConn(counted)
		refusal = fuzzLimits.ReadRequest(c)
		interim = counted.interim
	})
	replay([]byte(raw))
	return interim, refusal
}

// Guards against a chunked body in an HTTP/1.0 request: senders of that version do not know chunks, and a proxy in between may take
// the body for another request (RFC 9112, section 6.1).
func TestChunkedBodyNeedsHTTP11(t *testing.T) {
	for _, connection := range []string{"", "Connection: keep-alive\r\n"} {
		_, refusal := readRaw("POST / HTTP/1.0\r\nHost: h\r\n" + connection + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		if refusal == nil || refusal.Reason != reason.BadFraming {
			t.Errorf("with %q: refusal %+v, want bad_framing", connection, refusal)
		}
	}
	for _, raw := range []string{"GET / HTTP/1.0\r\n\r\n", "POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nok", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		if _, refusal := readRaw(raw); refusal != nil {
			t.Errorf("%q: refusal %+v", raw, refusal)
		}
	}
}

// Guards against an interim answer to an HTTP/1.0 caller, who takes it for the answer (RFC 9110, section 10.1.1).
func TestInterimAnswerNeedsHTTP11(t *testing.T) {
	for version, want := range map[string]int{"1.0": 0, "1.1": 1} {
		interim, refusal := readRaw("POST / HTTP/" + version + "\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok")
		if interim != want || refusal != nil {
			t.Errorf("HTTP/%s: %d interim answers, want %d; refusal %+v", version, interim, want, refusal)
		}
	}
}
