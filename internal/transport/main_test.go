package transport

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"go.uber.org/goleak"

	"github.com/basillink/basillink/internal/chart"
)

// wantRefusals counts the events that tests fire in the expectation that the chart refuses them.
var wantRefusals atomic.Uint64

// TestMain guards against leaked goroutines, and against code that fires events that the chart refuses.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		if got := chart.RefusedTransitions(); got != wantRefusals.Load() {
			fmt.Fprintf(os.Stderr, "charts refused %d events, want %d\n", got, wantRefusals.Load())
			code = 1
		}
		os.Exit(code)
	}))
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func testPool(t testing.TB, address string, limit int) *Pool {
	p := NewPool(address, limit)
	t.Cleanup(p.Close)
	return p
}

func newRequest(method, address, path, body string) *protocol.Request {
	request := &protocol.Request{}
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(method)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(address)
	request.SetBodyString(body)
	return request
}

var testLimits = Limits{MaxBufferedBytes: 1 << 20, MaxBodyBytes: 64 << 20}

// send runs one exchange and returns the body.
func send(p *Pool, request *protocol.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return sendWith(ctx, p, request)
}

func sendWith(ctx context.Context, p *Pool, request *protocol.Request) (string, error) {
	answer, err := p.RoundTrip(ctx, request, testLimits, nil)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body := append([]byte(nil), answer.Response.Body()...)
	rest, err := io.ReadAll(answer)
	return string(append(body, rest...)), err
}
