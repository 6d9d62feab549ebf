package ingress

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against a request or answer that is modified when it is forwarded.
func TestForwardsUnchanged(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		seen.Store(r)
		return rawAnswer(201, r, "X-Sig: abc\r\n", "whole"), true
	})
	b := newTestbed(t, target)
	got, body := b.dial(t).exchange("POST", "/once/p/q?x=1&y", "id1", "content")
	if got.StatusCode != 201 || body != "whole" || got.Header.Get("X-Sig") != "abc" {
		t.Errorf("answer %d %q %v", got.StatusCode, body, got.Header)
	}
	r := seen.Load()
	if r.Method != "POST" || r.RequestURI != "/once/p/q?x=1&y" || r.Host != "h" || r.Header.Get("X-Id") != "id1" ||
		r.Header.Get("X-Expected") != "t0" || r.Header.Get(rawtarget.BodyHeader) != "content" {
		t.Errorf("request %s %s %v", r.Method, r.RequestURI, r.Header)
	}
}

// Guards against a request of a route that is not idempotent being run twice, and against an answer to the caller which claims
// that the request did not run although it may have. Each target reads the whole request.
func TestNonIdempotentRequest(t *testing.T) {
	cases := []struct {
		name     string
		first    func(r *http.Request) (string, bool)
		status   int
		attempts int64
	}{
		{"connection closed without answer", func(*http.Request) (string, bool) { return "", false }, 502, 1},
		{"truncated answer", func(r *http.Request) (string, bool) {
			return strings.Replace(rawAnswer(200, r, "", "body"), "Length: 4", "Length: 9", 1), false
		}, 502, 1},
		{"not HTTP", func(*http.Request) (string, bool) { return "garbage\r\n\r\n", false }, 502, 1},
		{"503 without not-run header", func(r *http.Request) (string, bool) { return rawAnswer(503, r, "", ""), true }, 502, 1},
		{"429 without not-run header", func(r *http.Request) (string, bool) { return rawAnswer(429, r, "", ""), true }, 502, 1},
		{"error of the target", func(r *http.Request) (string, bool) { return rawAnswer(500, r, "", "e"), true }, 500, 1},
		{"shed", func(r *http.Request) (string, bool) { return rawAnswer(503, r, "X-Not-Run: 1\r\n", ""), true }, 503, 2},
		{"other incarnation", func(r *http.Request) (string, bool) { return rawAnswer(421, r, "", ""), true }, 503, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var attempts atomic.Int64
			script := func(r *http.Request, _ int64) (string, bool) {
				attempts.Add(1)
				return c.first(r)
			}
			b := newTestbed(t, startScripted(t, script), startScripted(t, script), startScripted(t, script))
			got, _ := b.dial(t).exchange("POST", "/once/", "id1", "content")
			if got.StatusCode != c.status || attempts.Load() != c.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d", got.StatusCode, attempts.Load(), c.status, c.attempts)
			}
		})
	}
}

// Guards against an idempotent request that fails although another target can answer it, and against more attempts than the
// route allows.
func TestIdempotentRequest(t *testing.T) {
	cases := []struct {
		name  string
		first func(r *http.Request) (string, bool)
	}{
		{"connection closed without answer", func(*http.Request) (string, bool) { return "", false }},
		{"truncated answer", func(r *http.Request) (string, bool) {
			return strings.Replace(rawAnswer(200, r, "", "body"), "Length: 4", "Length: 9", 1), false
		}},
		{"error of the target", func(r *http.Request) (string, bool) { return rawAnswer(500, r, "", "e"), true }},
		{"answer to another request", func(r *http.Request) (string, bool) {
			return strings.Replace(rawAnswer(200, r, "", "body"), "id1", "id0", 1), false
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var attempts atomic.Int64
			script := func(r *http.Request, _ int64) (string, bool) {
				if attempts.Add(1) == 1 {
					return c.first(r)
				}
				return rawAnswer(200, r, "", "second"), true
			}
			b := newTestbed(t, startScripted(t, script), startScripted(t, script), startScripted(t, script))
			got, body := b.dial(t).exchange("GET", "/safe/", "id1", "")
			if got.StatusCode != 200 || body != "second" || attempts.Load() != 2 {
				t.Errorf("status %d, body %q after %d attempts", got.StatusCode, body, attempts.Load())
			}
		})
	}
}

// Guards against an extra answer on a connection that is forwarded to the caller of the next request.
func TestExtraAnswerIsSkipped(t *testing.T) {
	target := startScripted(t, func(r *http.Request, n int64) (string, bool) {
		raw := rawAnswer(200, r, "", "for "+r.Header.Get("X-Id"))
		if n == 1 {
			return raw + rawAnswer(200, r, "", "extra"), true
		}
		return raw, true
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	for _, id := range []string{"id1", "id2", "id3"} {
		if got, body := c.exchange("GET", "/safe/", id, ""); got.StatusCode != 200 || body != "for "+id {
			t.Errorf("%s: %d %q", id, got.StatusCode, body)
		}
	}
}

// Guards against an extra answer that arrives late, just before the answer to the next request.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	target := startScripted(t, func(r *http.Request, n int64) (string, bool) {
		raw := rawAnswer(200, r, "", "for "+r.Header.Get("X-Id"))
		if n == 2 {
			return strings.ReplaceAll(rawAnswer(200, r, "", "for id1"), "X-Id: id2", "X-Id: id1") + raw, true
		}
		return raw, true
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	for _, id := range []string{"id1", "id2", "id3"} {
		if got, body := c.exchange("POST", "/once/", id, "x"); got.StatusCode != 200 || body != "for "+id {
			t.Errorf("%s: %d %q", id, got.StatusCode, body)
		}
	}
}

// Guards against forwarding a truncated body without a length as a complete one.
func TestCloseDelimitedBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id1\r\n\r\n"
	graceful := startScripted(t, func(*http.Request, int64) (string, bool) { return head + "all of it", false })
	b := newTestbed(t, graceful)
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || body != "all of it" {
		t.Errorf("graceful close: status %d, body %q", got.StatusCode, body)
	}
	reset := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = conn.Write([]byte(head + "part"))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	b = newTestbed(t, reset)
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 502 {
		t.Errorf("reset: status %d, body %q", got.StatusCode, body)
	}
}

// Guards against a deadlock or a reused connection when a target answers before it has read a long body: the rest of the body
// must not be read as another request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				buffer := make([]byte, 1024)
				_, _ = conn.Read(buffer)
				_, _ = conn.Write([]byte("HTTP/1.1 413 X\r\nX-Id: id1\r\nContent-Length: 0\r\n\r\n"))
				time.Sleep(2 * time.Second)
				_ = conn.Close()
			}()
		}
	}()
	b := newTestbed(t)
	view := newView(t, b.gateway.Now, nil)
	view.Pools["s"].SetTargets(registeredAt(listener.Addr().String()), 1, time.Now())
	b.view.Store(view)
	began := time.Now()
	got, _ := b.dial(t).exchange("POST", "/once/", "id1", strings.Repeat("x", 8<<20))
	if got.StatusCode != 413 || time.Since(began) > 800*time.Millisecond {
		t.Errorf("status %d after %s", got.StatusCode, time.Since(began))
	}
}

// Guards against status 404 from an instance that has no configuration yet, and against another status than 404 for an unknown
// route.
func TestUnknownRoute(t *testing.T) {
	b := newTestbed(t, startEcho(t, "x"))
	if got, _ := b.dial(t).exchange("GET", "/nowhere/", "id1", ""); got.StatusCode != 404 {
		t.Errorf("with a configuration: %d", got.StatusCode)
	}
	b.view.Store(nil)
	if got, _ := b.dial(t).exchange("GET", "/safe/", "id1", ""); got.StatusCode != 503 {
		t.Errorf("without a configuration: %d", got.StatusCode)
	}
}

// Guards against a target that goes on working after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			close(closed)
		}
		return false
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	c.send("GET", "/safe/", "id1", "")
	time.Sleep(50 * time.Millisecond)
	_ = c.conn.Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target is still working 500 ms after the caller disconnected")
	}
}

// Guards against a route timeout that expires without an answer to the caller, and against an answer which claims that the
// request did not run although a target has started it.
func TestRouteTimeout(t *testing.T) {
	target := rawtarget.Start(t, func(net.Conn, *http.Request, int64) bool {
		time.Sleep(1500 * time.Millisecond)
		return false
	})
	b := newTestbed(t, target)
	began := time.Now()
	got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x")
	if elapsed := time.Since(began); got.StatusCode != 504 || elapsed < 700*time.Millisecond || elapsed > 1200*time.Millisecond {
		t.Errorf("status %d after %s", got.StatusCode, elapsed)
	}
}

// Guards against a graceful shutdown that drops a request, or closes a keep-alive connection without announcing it.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		<-release
		_, err := conn.Write([]byte(rawAnswer(200, r, "", "slow")))
		return err == nil
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	c.send("GET", "/safe/", "id1", "")
	time.Sleep(30 * time.Millisecond)
	b.gateway.Drain()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	got, body, err := c.receive()
	if err != nil || got.StatusCode != 200 || body != "slow" || !got.Close {
		t.Errorf("%v, %q, %v", got, body, err)
	}
	if got, body := b.dial(t).exchange("GET", "/safe/", "id2", ""); got.StatusCode != 200 || body != "slow" || !got.Close {
		t.Errorf("a new connection during the drain: %d %q", got.StatusCode, body)
	}
}

// Guards against a request that waits until its deadline although no target can serve it.
func TestNoTargetRefusesImmediately(t *testing.T) {
	b := newTestbed(t)
	began := time.Now()
	got, _ := b.dial(t).exchange("GET", "/safe/", "id1", "")
	if got.StatusCode != 503 || got.Header.Get("Retry-After") == "" || time.Since(began) > 200*time.Millisecond {
		t.Errorf("status %d, Retry-After %q after %s", got.StatusCode, got.Header.Get("Retry-After"), time.Since(began))
	}
}

// Guards against accepting a malformed head that the gateway and a target could interpret differently (request smuggling).
func TestMalformedHeads(t *testing.T) {
	b := newTestbed(t, startEcho(t, "x"))
	for _, head := range []string{
		"GET /safe/ HTTP/1.1\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"GET /safe/ HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
	} {
		c := b.dial(t)
		if _, err := c.conn.Write([]byte(head)); err != nil {
			t.Fatal(err)
		}
		if got, _, err := c.receive(); err != nil || got.StatusCode != 400 {
			t.Errorf("%q: %v, %v", head, got, err)
		}
	}
}
