package inbound

import (
	"errors"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
)

// faultyConn panics at a call of Peek, as a decoder does that reads the bytes.
type faultyConn struct {
	network.Conn
	calls, panicAt int
}

func (c *faultyConn) Peek(n int) ([]byte, error) {
	if c.calls++; c.calls == c.panicAt {
		panic("decoder fault")
	}
	return c.Conn.Peek(n)
}

// Guards against a panic of the decoder that ends the connection without an answer: it has to be a refusal with a reason. The
// first two calls of Peek are those of peekHead, the third and fourth are the codec's for the head, and the fifth is its first
// one for the chunked body.
func TestDecoderPanicIsARefusal(t *testing.T) {
	const raw = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for _, panicAt := range []int{3, 5} {
		var refusal *Refusal
		replay := startReplay(func(conn network.Conn) {
			c := app.NewContext(0)
			c.SetConn(&faultyConn{Conn: conn, panicAt: panicAt})
			refusal = fuzzLimits.ReadRequest(c)
		})
		replay([]byte(raw))
		var panicked *panicguard.Error
		if refusal == nil || refusal.Reason != reason.BadFraming || !errors.As(refusal.Cause, &panicked) {
			t.Errorf("panic at call %d: refusal %+v, want bad_framing because of a panic", panicAt, refusal)
		}
	}
}
