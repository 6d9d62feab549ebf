package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// BenchmarkRequest measures a request including the work of the caller and the target, on a keep-alive connection and on a new
// connection for each request.
func BenchmarkRequest(b *testing.B) {
	target := rawtarget.Start(b, func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "X-Load: 1,0,4\r\n", "body"))
		return err == nil
	})
	g := newTestbed(b, target)
	exchange := func(conn net.Conn, reader *bufio.Reader, n int) {
		_, err := fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: id%d\r\nX-Deadline: 2000\r\n\r\n", n)
		if err != nil {
			b.Fatal(err)
		}
		got, err := http.ReadResponse(reader, nil)
		if err != nil || got.StatusCode != 200 {
			b.Fatal(got, err)
		}
		_, _ = io.Copy(io.Discard, got.Body)
		_ = got.Body.Close()
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", g.address)
		if err != nil {
			b.Fatal(err)
		}
		return conn, bufio.NewReader(conn)
	}
	b.Run("keep-alive", func(b *testing.B) {
		b.ReportAllocs()
		conn, reader := dial()
		defer func() { _ = conn.Close() }()
		for n := range b.N {
			exchange(conn, reader, n)
		}
	})
	b.Run("new-connection", func(b *testing.B) {
		b.ReportAllocs()
		for n := range b.N {
			conn, reader := dial()
			exchange(conn, reader, n)
			_ = conn.Close()
		}
	})
}
