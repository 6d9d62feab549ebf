package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/reason"
)

// malformedAnswers are answers of targets that are not valid HTTP/1, each with the id of the request. They end with a complete
// body, and a codec that is not strict takes them for answers.
var malformedAnswers = map[string]string{
	"empty trailer name":         "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTrailer: ,\r\nContent-Length: 0\r\n\r\n",
	"empty trailer name, chunks": "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTrailer: a, ,b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against a malformed answer that is forwarded, that is repeated although the request may have run, that is reported as
// not run, or after which the target seems to run the request for ever.
func TestMalformedAnswers(t *testing.T) {
	for name, raw := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			target := startScripted(t, func(r *http.Request, n int64) (string, bool) {
				if n > 1 {
					return rawAnswer(200, r, "", "sound"), true
				}
				return fmt.Sprintf(raw, r.Header.Get("X-Id")), true
			})
			b := newTestbed(t, target)
			c := b.dial(t)
			got, _ := c.exchange("POST", "/once/", "id1", "x")
			if got.StatusCode != 502 || got.Header.Get("Basillink-Reason") != reason.AnswerMalformed.Name || target.Requests.Load() != 1 {
				t.Errorf("status %d, reason %q after %d attempts", got.StatusCode, got.Header.Get("Basillink-Reason"), target.Requests.Load())
			}
			b.checkIdle(t)
			for id := range 5 {
				if got, body := c.exchange("POST", "/once/", fmt.Sprint("next", id), "x"); got.StatusCode != 200 || body != "sound" {
					t.Errorf("request %d after it: status %d, body %q", id, got.StatusCode, body)
				}
			}
		})
	}
}

// Guards against malformed requests that get no answer, or that reach a target.
func TestMalformedRequests(t *testing.T) {
	target := startEcho(t, "")
	b := newTestbed(t, target)
	for _, extra := range []string{
		"Trailer: ,\r\n\r\n", "Trailer: a, ,b\r\n\r\n", "Transfer-Encoding: chunked\r\nTrailer: ,\r\n\r\n0\r\n\r\n",
	} {
		c := b.dial(t)
		if _, err := io.WriteString(c.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\n"+extra); err != nil {
			t.Fatal(err)
		}
		answer, _, err := c.receive()
		if err != nil || answer.StatusCode != 400 || answer.Header.Get("Basillink-Reason") != reason.BadFraming.Name {
			t.Errorf("%q: answer %+v, error %v, want 400", strings.TrimSpace(extra), answer, err)
		}
	}
	b.checkIdle(t)
	if target.Requests.Load() != 0 || b.gateway.Panics() != 0 {
		t.Errorf("%d requests reached the target, %d panics", target.Requests.Load(), b.gateway.Panics())
	}
}
