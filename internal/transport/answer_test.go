package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/testwait"
)

// Guards against bodies that are truncated, padded or taken from another answer, for each way to delimit a body.
func TestAnswerFraming(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, method, raw string
		body              string
		want              *reason.Reason
		// reused is true if the next request may use the same connection.
		reused bool
	}{
		{name: "length", raw: okAnswer, body: "ok", reused: true},
		{name: "empty", raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", reused: true},
		{name: "chunks", raw: chunked + "2\r\nok\r\n0\r\n\r\n", body: "ok", reused: true},
		{name: "chunks with trailer", raw: chunked + "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", body: "ok", reused: true},
		{name: "no content", raw: "HTTP/1.1 204 No Content\r\n\r\n", reused: true},
		{name: "not modified with length", raw: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", reused: true},
		{name: "head", method: "HEAD", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", reused: true},
		{name: "head with chunks", method: "HEAD", raw: chunked, reused: true},
		{name: "interim", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okAnswer, body: "ok", reused: true},
		{name: "close", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "close in a list", raw: "HTTP/1.1 200 OK\r\nConnection: x, close\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "trailing bytes", raw: okAnswer + okAnswer, body: "ok"},
		{name: "body after no content", raw: "HTTP/1.1 204 No Content\r\n\r\nok"},
		{name: "body after head", method: "HEAD", raw: okAnswer},
		{name: "switching protocols", raw: "HTTP/1.1 101 Switching Protocols\r\n\r\n", want: reason.AnswerMalformed},
		{name: "endless interim", raw: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20), want: reason.AnswerMalformed},
		{name: "length and chunks", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: reason.AnswerMalformed},
		{name: "two lengths", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "other encoding", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "not http", raw: "SSH-2.0-OpenSSH\r\n\r\n", want: reason.AnswerMalformed},
		{name: "trailer names", raw: "HTTP/1.1 200 OK\r\nTrailer: X-Sum, X-B\r\nContent-Length: 2\r\n\r\nok", body: "ok", reused: true},
		{name: "status of four digits", raw: "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status with a leading zero", raw: "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status 000", raw: "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status 000 without a phrase", raw: "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status 000, chunks", raw: "HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: reason.AnswerMalformed},
		{name: "status 000 after an interim answer", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status 000 before an answer", raw: "HTTP/1.1 000 X\r\n\r\n" + okAnswer, want: reason.AnswerMalformed},
		{name: "status 000, head", method: "HEAD", raw: "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n", want: reason.AnswerMalformed},
		{name: "status above 599", raw: "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "status above 599, interim", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "version of many digits", raw: "HTTP/1.7777 200 OK\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "version without a digit", raw: "HTTP/1. 200 OK\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "control character in the reason phrase", raw: "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok", want: reason.AnswerMalformed},
		{name: "no reason phrase", raw: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", body: "ok", reused: true},
		{name: "empty trailer name", raw: "HTTP/1.1 200 OK\r\nTrailer: ,\r\nContent-Length: 0\r\n\r\n", want: reason.AnswerMalformed},
		{name: "empty trailer name, chunks", raw: "HTTP/1.1 200 OK\r\nTrailer: , ,a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: reason.AnswerMalformed},
		{name: "empty trailer name, interim", raw: "HTTP/1.1 103 Early Hints\r\nTrailer: ,,\r\n\r\n" + okAnswer, want: reason.AnswerMalformed},
		{name: "bad chunk", raw: chunked + "zz\r\nok\r\n0\r\n\r\n", want: reason.AnswerMalformed},
		{name: "long head", raw: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", connBufferBytes) + "\r\n\r\n", want: reason.AnswerMalformed},
		{name: "too large", raw: "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", want: reason.AnswerTooLarge},
		{name: "no length", raw: "HTTP/1.1 200 OK\r\n\r\nok", want: reason.AnswerUnbounded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := rawtarget.Start(t, rawtarget.Always(c.raw))
			pool := testPool(t, target.Address(), 4)
			method := c.method
			if method == "" {
				method = "GET"
			}
			for range 2 {
				body, err := send(pool, newRequest(method, target.Address(), "/", ""))
				checkAnswer(t, body, err, c.body, c.want)
			}
			if reused := target.Accepted.Load() == 1; reused != c.reused {
				t.Errorf("connections opened: %d, want reuse %v", target.Accepted.Load(), c.reused)
			}
		})
	}
}

func checkAnswer(t *testing.T, body string, err error, wantBody string, want *reason.Reason) {
	t.Helper()
	var failure *ExchangeError
	if errors.As(err, &failure) {
		if failure.Reason != want || !failure.Sent {
			t.Errorf("got %v sent %v, want reason %v", failure, failure.Sent, want)
		}
		return
	}
	if err != nil || want != nil || body != wantBody {
		t.Errorf("got body %q error %v, want body %q reason %v", body, err, wantBody, want)
	}
}

// Guards against a truncated answer that is accepted as complete. The answers are truncated after every byte.
func TestTruncatedAnswers(t *testing.T) {
	whole := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n",
	}
	for _, raw := range whole {
		headEnd := strings.Index(raw, "\r\n\r\n") + 4
		for cut := range len(raw) {
			target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
				_, _ = io.WriteString(conn, raw[:cut])
				return false
			})
			_, err := send(testPool(t, target.Address(), 1), newRequest("GET", target.Address(), "/", ""))
			want := reason.AnswerLost
			if cut >= headEnd {
				want = reason.AnswerTruncated
			}
			checkAnswer(t, "", err, "(an error)", want)
		}
	}
}

// Guards against corruption of large answers, for sizes around the limits of the buffers.
func TestLargeAnswers(t *testing.T) {
	for _, size := range []int{connBufferBytes - 1, connBufferBytes, 100_000, 1<<20 - 1, 1 << 20, 1<<20 + 1, 5 << 20} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)} {
			target := rawtarget.Start(t, rawtarget.Always("HTTP/1.1 200 OK\r\n"+head))
			pool := testPool(t, target.Address(), 1)
			for range 2 {
				if got, err := send(pool, newRequest("GET", target.Address(), "/", "")); err != nil || got != body {
					t.Errorf("size %d: got %d bytes, error %v", size, len(got), err)
				}
			}
		}
	}
}

// Guards against a late answer to a cancelled request that is returned for the next request because the connection was
// reused.
func TestLateAnswerIsDropped(t *testing.T) {
	proceed := make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "/late" {
			<-proceed
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return err == nil
	})
	pool := testPool(t, target.Address(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error)
	go func() {
		_, err := sendWith(ctx, pool, newRequest("GET", target.Address(), "/late", ""))
		result <- err
	}()
	testwait.Until(t, "the first request", func() bool { return target.Requests.Load() == 1 })
	cancel()
	checkAnswer(t, "", <-result, "(an error)", reason.CallerLeftRunning)
	close(proceed)
	for range 3 {
		if body, err := send(pool, newRequest("GET", target.Address(), "/next", "")); err != nil || body != "/next" {
			t.Errorf("got %q, %v", body, err)
		}
	}
}

// Guards against a request that is sent with less than minExchangeTime left, and against an exchange that its deadline does
// not interrupt.
func TestDeadlines(t *testing.T) {
	target := rawtarget.Start(t, func(net.Conn, *http.Request, int64) bool { time.Sleep(200 * time.Millisecond); return false })
	pool := testPool(t, target.Address(), 1)
	past, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Millisecond/2))
	defer cancel()
	_, err := sendWith(past, pool, newRequest("POST", target.Address(), "/", "x"))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Sent || failure.Reason != reason.DeadlineTooShort {
		t.Errorf("got %v, want deadline_too_short without sending", err)
	}
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = sendWith(short, pool, newRequest("POST", target.Address(), "/", "x"))
	checkAnswer(t, "", err, "(an error)", reason.AnswerTimeout)
}
