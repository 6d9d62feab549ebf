package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/panicguard"
)

// replayConn delivers the bytes of its reader and discards what is written.
type replayConn struct {
	net.Conn
	*bytes.Reader
}

func (c replayConn) Read(p []byte) (int, error)    { return c.Reader.Read(p) }
func (replayConn) Write(p []byte) (int, error)     { return len(p), nil }
func (replayConn) Close() error                    { return nil }
func (replayConn) SetDeadline(time.Time) error     { return nil }
func (replayConn) SetReadDeadline(time.Time) error { return nil }

// fuzzLimits bounds the memory of one input.
var fuzzLimits = Limits{MaxBufferedBytes: 1 << 10, MaxBodyBytes: 8 << 10, AllowCloseDelimited: true}

// readAnswerOf decodes one answer to a request and reads its body to the end.
func readAnswerOf(request *protocol.Request, raw []byte) (*Answer, []byte, error) {
	conn := &Conn{}
	if err := conn.attach(replayConn{Reader: bytes.NewReader(raw)}); err != nil {
		return nil, nil, err
	}
	pool := NewPool("fuzz", 1)
	pool.numOpen = 1
	defer pool.Close()
	answer := newAnswer(pool, conn, fuzzLimits)
	if err := answer.begin(pool.baseCtx, eventBegin); err != nil {
		return nil, nil, err
	}
	if err := conn.readAnswer(request, answer); err != nil {
		return answer, nil, err
	}
	if answer.FullyBuffered() {
		answer.finish()
	}
	body := bytes.Clone(answer.Response.Body())
	rest, err := io.ReadAll(answer)
	return answer, append(body, rest...), err
}

// Guards against answers of targets, of the store or of other instances for which the decoder panics, and against bodies
// beyond the limit.
func FuzzReadAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, seed := range []string{
		okAnswer, head + "\r\nto the end", head + "Trailer: ,\r\nContent-Length: 0\r\n\r\n", head + "Trailer: a, ,b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nTrailer: ,,\r\n\r\n" + okAnswer, "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2;e=1\r\nok\r\n0\r\nX-Sum: 1\r\n: x\r\n\r\n",
		head + "Set-Cookie: =;\r\nServer:\r\nContent-Type: \r\nConnection: close, ,x\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 204 \r\n\r\n", "HTTP/1.1 200\n\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, head bool) {
		method := "GET"
		if head {
			method = "HEAD"
		}
		answer, body, err := readAnswerOf(newRequest(method, "fuzz", "/", ""), raw)
		if answer == nil {
			t.Fatal(err)
		}
		defer answer.Close()
		if len(body) > fuzzLimits.MaxBodyBytes {
			t.Errorf("a body of %d bytes was accepted, the limit is %d", len(body), fuzzLimits.MaxBodyBytes)
		}
		var panicked *panicguard.Error
		if errors.As(err, &panicked) {
			t.Errorf("the decoder panicked: %v", panicked)
		}
	})
}
