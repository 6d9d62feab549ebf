package admin

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/telemetry"
)

// Guards against a malformed request to the admin address that gets no answer and writes an unstructured stack to standard
// error, and against an operator's request that fails after it.
func TestMalformedAdminRequests(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	telemetry.RedirectServerLogs(log)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	s := New(address, 32, Source{Metrics: http.NotFoundHandler()}, log)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }()
	t.Cleanup(func() { _ = s.server.Close() })
	for _, c := range []struct {
		raw    string
		status int
	}{
		{"GET /livez HTTP/1.1\r\nHost: h\r\nTrailer: ,\r\n\r\n", 400},
		{"POST /livez HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: a,,b\r\n\r\n0\r\n\r\n", 400},
		{"GET /livez HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(conn, c.raw)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%q: %v", c.raw, err)
		}
		_ = answer.Body.Close()
		_ = conn.Close()
		if answer.StatusCode != c.status {
			t.Errorf("%q: status %d, want %d", c.raw, answer.StatusCode, c.status)
		}
	}
}
