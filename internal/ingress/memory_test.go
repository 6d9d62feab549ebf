package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against requests that are accepted although the instance has no memory for them, against a refusal that the caller
// cannot take for "not run", and against memory that requests keep after their end.
func TestRequestsBeyondMemoryAreRefused(t *testing.T) {
	release := make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		<-release
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		return err == nil
	})
	b := newTestbed(t, target)
	b.gateway.Memory = membudget.New(2 * inbound.RequestBytes)
	var accepted []*callerConn
	for i := range 2 {
		c := b.dial(t)
		c.send("POST", "/once/", fmt.Sprintf("id%d", i), "x")
		accepted = append(accepted, c)
	}
	waitForUse(t, b.gateway.Memory, 2*inbound.RequestBytes)
	got, _ := b.dial(t).exchange("POST", "/once/", "id2", "x")
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || got.Header.Get("X-Id") != "id2" || !got.Close {
		t.Errorf("answer %+v, want 503 with Retry-After and the id, and the connection closed", got)
	}
	close(release)
	for _, c := range accepted {
		if answer, body, err := c.receive(); err != nil || answer.StatusCode != http.StatusOK || body != "whole" {
			t.Errorf("%d %q %v, want the whole answer", answer.StatusCode, body, err)
		}
	}
	if b.counter.refused["memory_full"] != 1 || target.Requests.Load() != 2 {
		t.Errorf("refusals %v, %d requests at the target; want one for memory_full, and 2", b.counter.refused, target.Requests.Load())
	}
	waitForUse(t, b.gateway.Memory, 0)
}

// Guards against long bodies of callers that together exceed the memory, or that leave none for other requests, with a known
// length and in chunks.
func TestLongBodiesBeyondMemoryAreRefused(t *testing.T) {
	const bodyBytes = 1 << 20
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes)
	for name, header := range map[string]string{"length": length(bodyBytes), "chunk": chunk} {
		t.Run(name, func(t *testing.T) {
			target := startEcho(t, "")
			b := newTestbed(t, target)
			b.gateway.Memory = membudget.New(3 * bodyBytes / 4)
			slow := b.dial(t)
			_, _ = io.WriteString(slow.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: long\r\nX-Deadline: 2000\r\n"+header)
			if got, _, err := slow.receive(); err != nil || got.StatusCode != http.StatusServiceUnavailable || !got.Close {
				t.Errorf("answer %+v, error %v to a body beyond the memory; want 503 before it is sent", got, err)
			}
			if got, body := b.dial(t).exchange("POST", "/once/", "id1", "short"); got.StatusCode != 200 || body != "SHORT" {
				t.Errorf("%d %q for a request with a short body", got.StatusCode, body)
			}
			waitForUse(t, b.gateway.Memory, 0)
		})
	}
}

// Guards against long bodies that arrive changed or cut, in both encodings.
func TestLongBodyIsForwardedWhole(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20<<10)
	received := make(chan int, 2)
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		received <- len(r.Header.Get(rawtarget.BodyHeader))
		return err == nil
	})
	b := newTestbed(t, target)
	b.gateway.Memory = membudget.New(4 << 20)
	c := b.dial(t)
	if got, text := c.exchange("POST", "/once/", "id1", body); got.StatusCode != 200 || text != "whole" {
		t.Errorf("%d %q for a body with a length", got.StatusCode, text)
	}
	half := len(body) / 2
	_, err := fmt.Fprintf(c.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id2\r\nX-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		half, body[:half], len(body)-half, body[half:])
	if err != nil {
		t.Fatal(err)
	}
	if got, text, err := c.receive(); err != nil || got.StatusCode != 200 || text != "whole" {
		t.Errorf("%d %q %v for a chunked body", got.StatusCode, text, err)
	}
	waitForUse(t, b.gateway.Memory, 0)
}

// Guards against answers that are refused or cut because the memory for buffering them is used: they are streamed.
func TestAnswersBeyondMemoryAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 8<<10)
	target := startScripted(t, func(r *http.Request, _ int64) (string, bool) { return rawAnswer(200, r, "", body), true })
	b := newTestbed(t, target)
	b.gateway.Memory = membudget.New(inbound.RequestBytes + 8<<10)
	for i := range 3 {
		if got, text := b.dial(t).exchange("GET", "/safe/", fmt.Sprintf("id%d", i), ""); got.StatusCode != 200 || text != body {
			t.Errorf("status %d, %d of %d bytes", got.StatusCode, len(text), len(body))
		}
		waitForUse(t, b.gateway.Memory, 0)
	}
}

// waitForUse waits until a number of bytes of a budget are used.
func waitForUse(t *testing.T, b *membudget.Budget, want int64) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); b.Used() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes used, want %d", b.Used(), want)
		}
	}
}
