package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against the write deadline of an answer that is still set when the caller sends its next request after a pause: the interim
// answer to that request then fails, and the request is refused though it is proper.
func TestExpectContinueAfterIdleTime(t *testing.T) {
	t.Parallel()
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		return err == nil
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	if err := c.conn.SetDeadline(time.Now().Add(3 * writeTimeout)); err != nil {
		t.Fatal(err)
	}
	write := func(raw string) {
		t.Helper()
		if _, err := io.WriteString(c.conn, raw); err != nil {
			t.Fatal(err)
		}
	}
	book := func(id string) {
		t.Helper()
		write("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nX-Deadline: 800\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		interim, _, err := c.receive()
		if err != nil || interim.StatusCode != http.StatusContinue {
			t.Fatalf("request %s: interim answer %d, error %v", id, interim.StatusCode, err)
		}
		write("x")
		if answer, body, err := c.receive(); err != nil || answer.StatusCode != http.StatusOK || body != "whole" {
			t.Fatalf("request %s: %d %q, error %v", id, answer.StatusCode, body, err)
		}
	}
	book("id1")
	time.Sleep(writeTimeout + 500*time.Millisecond)
	book("id2")
}
