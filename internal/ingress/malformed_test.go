package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/basillink/basillink/internal/reason"
)

// malformedAnswers are answers of targets that are not valid HTTP/1, each with the id of the request. They end with a complete
// body, and a codec that is not strict takes them for answers.
var malformedAnswers = map[string]string{
	"empty trailer name":         "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTrailer: ,\r\nContent-Length: 0\r\n\r\n",
	"status of four digits":      "HTTP/1.1 2000 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"status of zeros":            "HTTP/1.1 0200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"status 000":                 "HTTP/1.1 000 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"status 000, no phrase":      "HTTP/1.1 000\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"status 000, interim":        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"status above 599":           "HTTP/1.1 999 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"after an interim answer":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"version":                    "HTTP/1.x 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"reason phrase":              "HTTP/1.1 200 \x00\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	"blank in a name":            "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX A: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX\x01A: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank after a name":         "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length : 2\r\n\r\nok",
	"tab after a name, chunks":   "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding\t: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"NUL in a name, no length":   "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX\x00A: 1\r\n\r\nok",
	"blank in a name, interim":   "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
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

// Guards against an idempotent request that fails because of one malformed answer, although another target could answer it.
func TestMalformedAnswerIsRetried(t *testing.T) {
	for name, raw := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			var answers atomic.Int64
			script := func(r *http.Request, _ int64) (string, bool) {
				if answers.Add(1) == 1 {
					return fmt.Sprintf(raw, r.Header.Get("X-Id")), true
				}
				return rawAnswer(200, r, "", "sound"), true
			}
			b := newTestbed(t, startScripted(t, script), startScripted(t, script))
			got, body := b.dial(t).exchange("GET", "/safe/", "id1", "")
			if got.StatusCode != 200 || body != "sound" || b.counter.retried[reason.RetryAnswerLost.Name] != 1 {
				t.Errorf("status %d, body %q, retries %v", got.StatusCode, body, b.counter.retried)
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
