package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"go.uber.org/goleak"

	"github.com/basillink/basillink/internal/chart"
)

// wantRefusals counts the events that tests fire although the chart refuses them.
var wantRefusals atomic.Uint64

// TestMain guards against leaked goroutines, and against code that relies on an event that the chart refuses.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		if got := chart.Refusals(); got != wantRefusals.Load() {
			fmt.Fprintf(os.Stderr, "charts refused %d events, want %d\n", got, wantRefusals.Load())
			code = 1
		}
		os.Exit(code)
	}))
}

// wireTarget reads whole requests, counts them, and lets a script write raw bytes. The connection is closed when the
// script returns false.
type wireTarget struct {
	listener net.Listener
	requests atomic.Int64
	accepted atomic.Int64
	script   func(conn net.Conn, request *http.Request, number int64) bool

	mu     sync.Mutex
	conns  []net.Conn
	served sync.WaitGroup
}

func newWireTarget(t testing.TB, script func(net.Conn, *http.Request, int64) bool) *wireTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wireTarget{listener: listener, script: script}
	w.served.Go(w.accept)
	t.Cleanup(w.close)
	return w
}

func (w *wireTarget) address() string { return w.listener.Addr().String() }

func (w *wireTarget) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.accepted.Add(1)
		w.mu.Lock()
		w.conns = append(w.conns, conn)
		w.mu.Unlock()
		w.served.Go(func() { w.serve(conn) })
	}
}

func (w *wireTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "*" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !w.script(conn, request, w.requests.Add(1)) {
			return
		}
	}
}

func (w *wireTarget) close() {
	_ = w.listener.Close()
	w.mu.Lock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
	w.mu.Unlock()
	w.served.Wait()
}

// always answers every request with the same bytes and keeps the connection.
func always(raw string) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, raw)
		return err == nil
	}
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

var testLimits = Limits{WholeBytes: 1 << 20, MaxBytes: 64 << 20}

// send runs one exchange and returns the body.
func send(p *Pool, request *protocol.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return sendWith(ctx, p, request)
}

func sendWith(ctx context.Context, p *Pool, request *protocol.Request) (string, error) {
	answer, err := p.Start(ctx, request, testLimits, nil)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body := append([]byte(nil), answer.Response.Body()...)
	rest, err := io.ReadAll(answer)
	return string(append(body, rest...)), err
}

func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	const limit = 10 * time.Second
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("%s did not happen within %s", what, limit)
}
