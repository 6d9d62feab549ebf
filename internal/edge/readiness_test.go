package edge

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

// startReadiness starts a readiness server and returns a function that sends raw bytes on a new connection and returns a
// reader of the answers.
func startReadiness(t *testing.T, metrics http.HandlerFunc) (*readiness, func(raw string) *bufio.Reader) {
	t.Helper()
	telemetry.RedirectServerLogs(slog.New(slog.DiscardHandler))
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	r := newReadiness(settings.EdgeListen{Readiness: address, MaxReadinessConnections: 32}, func() bool { return true }, metrics, slog.New(slog.DiscardHandler))
	if err := r.open(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.run() }()
	t.Cleanup(func() { _ = r.server.Close() })
	return r, func(raw string) *bufio.Reader {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, raw); err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(conn)
	}
}

func readStatus(t *testing.T, reader *bufio.Reader) (status int, body string) {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(content)
}

// Guards against one malformed request to the readiness address that ends the process, and against one that gets no answer.
func TestReadinessSurvivesMalformedRequests(t *testing.T) {
	r, send := startReadiness(t, func(http.ResponseWriter, *http.Request) {})
	const head = "GET /-/ready HTTP/1.1\r\nHost: h\r\n"
	for _, raw := range []string{
		head + "Trailer: ,\r\n\r\n", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "GET /-/ready HTTP/1.1\r\n\r\n", "\x16\x03\x01\r\n\r\n",
	} {
		if status, _ := readStatus(t, send(raw)); status != 400 {
			t.Errorf("%q: status %d, want 400", raw, status)
		}
	}
	if status, body := readStatus(t, send(head+"\r\n")); status != 200 || body != "ready\n" {
		t.Errorf("readiness check afterwards: status %d, body %q", status, body)
	}
	if r.requests.Panics() != 0 {
		t.Errorf("%d panics", r.requests.Panics())
	}
}

// Guards against a readiness check on a kept connection, which balancers use, that gets no answer, and against a panic of one
// request that ends the process.
func TestReadinessConnectionsAreKept(t *testing.T) {
	r, send := startReadiness(t, func(http.ResponseWriter, *http.Request) { panic("fault") })
	const check = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
	reader := send(check + strings.Replace(check, "GET", "HEAD", 1) + check + "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := readStatus(t, reader); status != 200 {
		t.Errorf("first check: status %d", status)
	}
	head, err := http.ReadResponse(reader, &http.Request{Method: "HEAD"})
	if err != nil {
		t.Fatal(err)
	}
	_ = head.Body.Close()
	if status, _ := readStatus(t, reader); status != 200 {
		t.Errorf("last check: status %d", status)
	}
	if status, _ := readStatus(t, reader); status != 500 || r.requests.Panics() != 1 {
		t.Errorf("status %d after a panic, %d panics were counted, want 500 and 1", status, r.requests.Panics())
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is open after a panic: %v", err)
	}
}
