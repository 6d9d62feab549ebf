package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/testwait"
)

// uploadBytes is more than the kernels of both ends hold, so that the request is never written completely.
const uploadBytes = 32 << 20

// writerFirstConn is a connection on which the error that ends it goes to Write. Read waits for that, and Write returns the error
// only after returnDelay. The kernel reports a reset to one of the two; which one is a race on a plain connection.
type writerFirstConn struct {
	*net.TCPConn
	returnDelay time.Duration
	once        sync.Once
	failed      chan struct{}
}

func (c *writerFirstConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		time.Sleep(c.returnDelay)
	}
	return n, err
}

func (c *writerFirstConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.TCPConn.Read(p)
}

// writerFirstPool returns a pool whose only connection is a writerFirstConn.
func writerFirstPool(t *testing.T, address string, returnDelay time.Duration) *Pool {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	pool := testPool(t, address, 1)
	conn := &Conn{}
	if err := conn.attach(&writerFirstConn{TCPConn: raw.(*net.TCPConn), returnDelay: returnDelay, failed: make(chan struct{})}); err != nil {
		t.Fatal(err)
	}
	pool.numOpen++
	pool.release(conn)
	return pool
}

// answerAndReset returns a script that writes an answer and resets the connection, before it has read the body of the request.
func answerAndReset(raw string) rawtarget.Script {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, raw)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// exchangeUpload sends a long upload on a pool and reads the whole answer, of which the given number of bytes is buffered.
func exchangeUpload(t *testing.T, pool *Pool, maxBufferedBytes int) (string, error) {
	t.Helper()
	limits := Limits{MaxBufferedBytes: maxBufferedBytes, MaxBodyBytes: 64 << 20, AllowCloseDelimited: true}
	answer, err := pool.RoundTrip(t.Context(), newRequest("POST", pool.address, "/", strings.Repeat("u", uploadBytes)), limits, nil)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body := string(answer.Response.Body())
	rest, err := io.ReadAll(answer)
	return body + string(rest), err
}

// Guards against the end of a connection that is taken for an orderly close after the writing of the request got its reset:
// wherever the answer breaks off, buffered or streamed, and also if the reader sees the end before the error of the writer is known.
func TestResetReportedToWriterIsNoOrderlyClose(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, raw string
		want      *reason.Reason
	}{
		{"no answer", "", reason.AnswerLost},
		{"part of the head", head + "X-Par", reason.AnswerLost},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n", reason.AnswerLost},
		{"no length, no body", head + "\r\n", reason.AnswerTruncated},
		{"no length", head + "\r\npart", reason.AnswerTruncated},
		{"length", head + "Content-Length: 9\r\n\r\npart", reason.AnswerTruncated},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reason.AnswerTruncated},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", reason.AnswerTruncated},
	}
	for _, c := range cases {
		for _, maxBufferedBytes := range []int{1 << 20, 2} {
			for _, returnDelay := range []time.Duration{0, 20 * time.Millisecond} {
				target := rawtarget.StartBeforeBody(t, answerAndReset(c.raw))
				body, err := exchangeUpload(t, writerFirstPool(t, target.Address(), returnDelay), maxBufferedBytes)
				checkAnswer(t, body, err, "(an error)", c.want)
				if !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%s, %d bytes buffered, error after %s: got %v, want the reset", c.name, maxBufferedBytes, returnDelay, err)
				}
			}
		}
	}
}

// Guards against the refusal of a whole answer without a length because the request could not be written to its end: the target
// closed its sending half and then reset the connection, or reads no more.
func TestOrderlyCloseDuringUpload(t *testing.T) {
	closeSendingHalf := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	stopped := make(chan struct{})
	resets := rawtarget.StartBeforeBody(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		closeSendingHalf(conn)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	readsNoMore := rawtarget.StartBeforeBody(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		closeSendingHalf(conn)
		<-stopped
		return false
	})
	t.Cleanup(func() { close(stopped) })
	cases := []struct {
		name string
		pool func() *Pool
	}{
		{"reset, seen by the writer first", func() *Pool { return writerFirstPool(t, resets.Address(), 0) }},
		{"reset, seen by the writer first, told late", func() *Pool { return writerFirstPool(t, resets.Address(), 20*time.Millisecond) }},
		{"reset", func() *Pool { return testPool(t, resets.Address(), 1) }},
		{"reads no more", func() *Pool { return testPool(t, readsNoMore.Address(), 1) }},
	}
	for _, c := range cases {
		for _, maxBufferedBytes := range []int{1 << 20, 2} {
			if body, err := exchangeUpload(t, c.pool(), maxBufferedBytes); err != nil || body != "whole" {
				t.Errorf("%s, %d bytes buffered: got %q, %v", c.name, maxBufferedBytes, body, err)
			}
		}
	}
}

// BenchmarkUpload measures an upload that is answered once it was read.
func BenchmarkUpload(b *testing.B) {
	target := rawtarget.Start(b, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		return true
	})
	pool := testPool(b, target.Address(), 1)
	request := newRequest("POST", pool.address, "/", strings.Repeat("u", 900<<10))
	for b.Loop() {
		answer, err := pool.RoundTrip(b.Context(), request, Limits{MaxBufferedBytes: 1 << 20, MaxBodyBytes: 1 << 20}, nil)
		if err != nil {
			b.Fatal(err)
		}
		answer.Close()
	}
}

// Guards against a reset of an idle connection that is forgotten once it was looked at: the kernel reports it once, and the connection
// must still count as closed and carry no request.
func TestResetOfIdleConnectionIsNotForgotten(t *testing.T) {
	resetNow := make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, number int64) bool {
		_, _ = io.WriteString(conn, okAnswer)
		if number > 1 {
			return true
		}
		<-resetNow
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	pool := testPool(t, target.Address(), 1)
	if body, err := send(pool, newRequest("GET", target.Address(), "/", "")); err != nil || body != "ok" {
		t.Fatalf("got %q, %v", body, err)
	}
	opened := time.Now()
	close(resetNow)
	testwait.Until(t, "the reset", func() bool { _, closed := pool.CountIdle(opened); return closed == 1 })
	for range 3 {
		if open, closed := pool.CountIdle(opened); open != 0 || closed != 1 {
			t.Errorf("%d open and %d closed idle connections, want the reset one only", open, closed)
		}
	}
	if body, err := send(pool, newRequest("POST", target.Address(), "/", "x")); err != nil || body != "ok" || target.Accepted.Load() != 2 {
		t.Errorf("got %q, %v on %d connections, want an answer on a second one", body, err, target.Accepted.Load())
	}
}
