package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

const (
	// resetAttempts is how often a reset is repeated, because it is a race which part of the process learns of it.
	resetAttempts = 30
	// uploadBytes is more than the kernel takes at once, so that the upload is still being written when the target answers.
	uploadBytes = 900 << 10
)

// writeUnbounded writes an answer whose body ends with its connection.
func writeUnbounded(conn net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n\r\n%s", r.Header.Get("X-Id"), body)
}

// reset prepares a connection so that closing it resets it.
func reset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// startMany starts as many targets as there are attempts, so that none of them is passed over for earlier failures.
func startMany(t *testing.T, script rawtarget.Script) []*rawtarget.Target {
	var targets []*rawtarget.Target
	for range resetAttempts {
		targets = append(targets, rawtarget.StartBeforeBody(t, script))
	}
	return targets
}

// sendUpload sends a request with a long body. Each request needs a path of its own: one that lost an answer and is sent again is
// held until it is known whether it crashed its target.
func (c *callerConn) sendUpload(path string) {
	c.t.Helper()
	c.send("POST", path, "id", strings.Repeat("u", uploadBytes))
}

// requests counts the requests that the targets have read.
func (b *testbed) requests() int64 {
	var n int64
	for _, target := range b.targets {
		n += target.Requests.Load()
	}
	return n
}

// Guards against a part of an answer without a length that reaches the caller as a complete answer, because the target reset the
// connection while the request was still being written; against sending such a request again, which may have run; and against a
// refusal that says that it did not.
func TestResetDuringUploadIsNoCompleteAnswer(t *testing.T) {
	for _, bodyBytes := range []int{0, 5, 100 << 10, 300 << 10} {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, pause %s", bodyBytes, pause), func(t *testing.T) {
				b := newTestbed(t, startMany(t, func(conn net.Conn, r *http.Request, _ int64) bool {
					writeUnbounded(conn, r, strings.Repeat("p", bodyBytes))
					time.Sleep(pause)
					reset(conn)
					return false
				})...)
				complete := 0
				for attempt := range resetAttempts {
					c := b.dial(t)
					c.sendUpload(fmt.Sprintf("/once/%d", attempt))
					got, _, err := c.receive()
					if err == nil && got.StatusCode == 200 {
						complete++
					} else if err == nil && (got.StatusCode != 502 || got.Header.Get("Basillink-Reason") != reason.AnswerTruncated.Name) {
						t.Errorf("status %d, reason %q, want 502 and %s", got.StatusCode, got.Header.Get("Basillink-Reason"), reason.AnswerTruncated.Name)
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d partial answers were taken for complete ones", complete, resetAttempts)
				}
				if n := b.requests(); n != resetAttempts {
					t.Errorf("%d requests were sent %d times, want once each", resetAttempts, n)
				}
				b.checkIdle(t)
			})
		}
	}
}

// Guards against a part of an answer that is returned although the request may be repeated: on an idempotent route another target
// gives the whole answer.
func TestResetDuringUploadIsRetried(t *testing.T) {
	for range 5 {
		var attempts atomic.Int64
		script := func(conn net.Conn, r *http.Request, _ int64) bool {
			if attempts.Add(1) == 1 {
				writeUnbounded(conn, r, "part")
				reset(conn)
				return false
			}
			_, _ = io.Copy(io.Discard, r.Body)
			writeUnbounded(conn, r, "whole")
			return false
		}
		b := newTestbed(t, rawtarget.StartBeforeBody(t, script), rawtarget.StartBeforeBody(t, script))
		c := b.dial(t)
		c.sendUpload("/safe/")
		got, body, err := c.receive()
		if err != nil || got.StatusCode != 200 || body != "whole" || attempts.Load() != 2 {
			t.Errorf("status %d, body %q, error %v, %d attempts", got.StatusCode, body, err, attempts.Load())
		}
		if n := b.counter.retried[reason.RetryAnswerTruncated.Name]; n != 1 {
			t.Errorf("%d retries for a truncated answer, want 1", n)
		}
		b.checkIdle(t)
	}
}

// Guards against the refusal of a whole answer without a length to an upload: after the upload was read, or at once by a target that
// closes its sending half and reads on, reads no more, or then resets the connection.
func TestOrderlyCloseDuringUploadIsCompleteAnswer(t *testing.T) {
	closeSendingHalf := func(conn net.Conn, r *http.Request) {
		writeUnbounded(conn, r, "whole")
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	var stopped chan struct{}
	for name, script := range map[string]rawtarget.Script{
		"upload read": func(conn net.Conn, r *http.Request, _ int64) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			writeUnbounded(conn, r, "whole")
			return false
		},
		"reads on": func(conn net.Conn, r *http.Request, _ int64) bool {
			closeSendingHalf(conn, r)
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		},
		"reads no more": func(conn net.Conn, r *http.Request, _ int64) bool {
			closeSendingHalf(conn, r)
			<-stopped
			return false
		},
		"reset after the close": func(conn net.Conn, r *http.Request, _ int64) bool {
			closeSendingHalf(conn, r)
			reset(conn)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			stopped = make(chan struct{})
			b := newTestbed(t, startMany(t, script)...)
			t.Cleanup(func() { close(stopped) })
			for attempt := range resetAttempts {
				c := b.dial(t)
				c.sendUpload(fmt.Sprintf("/once/%d", attempt))
				if got, body, err := c.receive(); err != nil || got.StatusCode != 200 || body != "whole" {
					t.Errorf("attempt %d: status %d, body %q, error %v", attempt, got.StatusCode, body, err)
				}
			}
			b.checkIdle(t)
		})
	}
}
