package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/inbound"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against taking a late duplicate of a refusal without an id for the answer to the next request on the connection. It
// would claim that this request did not run, and a request that is not idempotent would run twice.
func TestLateRefusalWithoutIDIsIgnored(t *testing.T) {
	const duplicate = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	script := func(r *http.Request, _ int64) (string, bool) {
		raw := rawAnswer(200, r, "", "for "+r.Header.Get("X-Id"))
		if r.Header.Get("X-Id") != "id2" {
			return raw, true
		}
		runs.Add(1)
		return duplicate + raw, true
	}
	b := newTestbed(t, startScripted(t, script))
	c := b.dial(t)
	c.exchange("POST", "/once/", "id1", "x")
	got, body := c.exchange("POST", "/once/", "id2", "x")
	if got.StatusCode == 503 || runs.Load() != 1 {
		t.Errorf("status %d, the request ran %d times", got.StatusCode, runs.Load())
	}
	if got.StatusCode == 200 && body != "for id2" {
		t.Errorf("got the answer to another request: %q", body)
	}
}

// Guards against ignoring a refusal without an id on a fresh connection, where it cannot be a late duplicate.
func TestRefusalWithoutIDOnFreshConnection(t *testing.T) {
	script := func(*http.Request, int64) (string, bool) {
		return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	b := newTestbed(t, startScripted(t, script))
	if got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 503 {
		t.Errorf("status %d", got.StatusCode)
	}
}

// Guards against forwarding a late duplicate answer that differs from the first one: with another length, in several segments,
// without a length, after an interim answer, without an id, or with the id in another case.
func TestLateDuplicateAnswers(t *testing.T) {
	first := func(r *http.Request, body string) string {
		return strings.ReplaceAll(rawAnswer(200, r, "", body), r.Header.Get("X-Id"), "id1")
	}
	cases := map[string]func(r *http.Request) []string{
		"same length":           func(r *http.Request) []string { return []string{first(r, "for id1")} },
		"other length":          func(r *http.Request) []string { return []string{first(r, strings.Repeat("z", 5000))} },
		"several segments":      func(r *http.Request) []string { s := first(r, "for id1"); return []string{s[:9], s[9:30], s[30:]} },
		"interim answer before": func(r *http.Request) []string { return []string{"HTTP/1.1 100 C\r\n\r\n" + first(r, "for id1")} },
		"two duplicates":        func(r *http.Request) []string { return []string{first(r, "for id1"), first(r, "for id1")} },
		"success without id":    func(*http.Request) []string { return []string{"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc"} },
		"chunked": func(*http.Request) []string {
			return []string{"HTTP/1.1 200 X\r\nX-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}
		},
		"id in other case": func(r *http.Request) []string {
			return []string{strings.Replace(first(r, "x"), "X-Id: id1", "x-ID: ID2", 1)}
		},
	}
	for name, duplicates := range cases {
		t.Run(name, func(t *testing.T) {
			target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
				if r.Header.Get("X-Id") == "id2" {
					for _, segment := range duplicates(r) {
						_, _ = io.WriteString(conn, segment)
						time.Sleep(2 * time.Millisecond)
					}
				}
				_, err := io.WriteString(conn, rawAnswer(200, r, "", "for "+r.Header.Get("X-Id")))
				return err == nil
			})
			b := newTestbed(t, target)
			c := b.dial(t)
			for _, id := range []string{"id1", "id2", "id3"} {
				got, body := c.exchange("POST", "/once/", id, "x")
				if got.StatusCode == 200 && body != "for "+id {
					t.Errorf("%s got %q", id, body)
				}
				if got.StatusCode != 200 && (id != "id2" || got.StatusCode == 503) {
					t.Errorf("%s: status %d", id, got.StatusCode)
				}
			}
		})
	}
}

// writeEndlessly returns a script that writes the string begin, with ID replaced by the request's id, and then the string more,
// again and again with a pause in between, until the connection fails. It stores the number of written bytes in written.
func writeEndlessly(written *atomic.Int64, begin, more string, pause time.Duration) rawtarget.Script {
	return func(conn net.Conn, r *http.Request, _ int64) bool {
		defer written.CompareAndSwap(-1, 0)
		n, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", r.Header.Get("X-Id")))
		total := int64(n)
		for err == nil {
			n, err = io.WriteString(conn, more)
			total += int64(n)
			time.Sleep(pause)
		}
		written.Store(total)
		return false
	}
}

// Guards against endless answers that occupy a caller, a connection or memory: an endless status line, head, trailer, chunk
// extension, body or sequence of interim answers, sent fast or slowly until the gateway closes the connection.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n"
	fast := strings.Repeat("z", 4<<10)
	cases := []struct {
		name, begin, more string
		pause             time.Duration
		// timeout is how long the caller may wait for an answer.
		timeout time.Duration
		// maxBytes is how much the target may manage to write.
		maxBytes int64
	}{
		{"garbage", "", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"garbage, slow", "", "z", time.Millisecond, 300 * time.Millisecond, 4 << 20},
		{"status line", "HTTP/1.1 200 ", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"header", head + "X-Long: ", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"headers", head, "X-More: z\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"headers, slow", head, "X-More: z\r\n", time.Millisecond, 1100 * time.Millisecond, 4 << 20},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: z\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"trailer, slow", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "z", time.Millisecond, 1100 * time.Millisecond, 4 << 20},
		{"tiny chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 0, 1100 * time.Millisecond, 80 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var written atomic.Int64
			written.Store(-1)
			b := newTestbed(t, rawtarget.Start(t, writeEndlessly(&written, c.begin, c.more, c.pause)))
			began := time.Now()
			caller := b.dial(t)
			caller.send("POST", "/once/", "id1", "x")
			got, _, err := caller.receive()
			if elapsed := time.Since(began); elapsed > c.timeout {
				t.Errorf("the caller waited %s, want at most %s", elapsed, c.timeout)
			}
			if err == nil && got.StatusCode < 500 {
				t.Errorf("the caller received a complete answer with status %d", got.StatusCode)
			}
			for deadline := time.Now().Add(2 * time.Second); written.Load() < 0 && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			if n := written.Load(); n < 0 || n > c.maxBytes {
				t.Errorf("the target wrote %d bytes, want at most %d (-1: still writing)", n, c.maxBytes)
			}
		})
	}
}

// Guards against endless bytes after a complete answer that reach the next caller or keep the connection open.
func TestEndlessBytesAfterAnswer(t *testing.T) {
	var written atomic.Int64
	written.Store(-1)
	var first atomic.Bool
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, n int64) bool {
		if first.CompareAndSwap(false, true) {
			return writeEndlessly(&written, rawAnswer(200, r, "", "whole"), "zzzz", 0)(conn, r, n)
		}
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "for "+r.Header.Get("X-Id")))
		return err == nil
	})
	b := newTestbed(t, target)
	c := b.dial(t)
	if got, body := c.exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || body != "whole" {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	time.Sleep(20 * time.Millisecond)
	if got, body := c.exchange("POST", "/once/", "id2", "x"); got.StatusCode != 200 || body != "for id2" {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	for deadline := time.Now().Add(ConnectionIdleTimeout + 2*time.Second); written.Load() < 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if written.Load() < 0 {
		t.Error("the target is still writing")
	}
}

// Guards against a graceful shutdown that drops requests: those on connections in the accept queue, those whose head has only
// partly arrived, and those that arrive while their keep-alive connection is being closed.
func TestShutdownUnderLoad(t *testing.T) {
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		time.Sleep(30 * time.Millisecond)
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		return err == nil
	})
	b := newTestbed(t, target)
	manySlots := registry.Target{Entry: registry.Entry{ID: "t0", Address: target.Address(), Zone: "a", Service: "s", Slots: 200}}
	b.view.Load().Pools["s"].SetTargets([]registry.Target{manySlots}, 1, time.Now())
	const callers = 60
	stopping := make(chan struct{})
	var dropped, served sync.Map
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			request := fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: c%d\r\nX-Deadline: 2000\r\nContent-Length: 1\r\n\r\nx", i)
			half := len(request) / 2
			if i%3 == 0 {
				_, _ = io.WriteString(conn, request[:half])
				<-stopping
				_, _ = io.WriteString(conn, request[half:])
			} else {
				<-stopping
				_, _ = io.WriteString(conn, request)
			}
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			reply, err := io.ReadAll(conn)
			if !bytes.HasSuffix(reply, []byte("whole")) {
				dropped.Store(i, fmt.Sprintf("%q, %v", reply, err))
				return
			}
			served.Store(i, true)
		})
	}
	time.Sleep(50 * time.Millisecond)
	// All callers send while the gateway shuts down.
	close(stopping)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := b.gateway.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	group.Wait()
	dropped.Range(func(caller, got any) bool {
		t.Errorf("the request of caller %v was dropped: %v", caller, got)
		return true
	})
}

// Guards against a shutdown that resets connections in the accept queue.
func TestDrainAcceptsPendingConnections(t *testing.T) {
	l := inbound.Listener{Address: "127.0.0.1:0"}
	if err := l.Open(); err != nil {
		t.Fatal(err)
	}
	const waiting = 20
	for range waiting {
		conn, err := net.Dial("tcp", l.BoundAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	accepted := make(chan int)
	go func() {
		count := 0
		for {
			conn, err := l.Accept()
			if err != nil {
				break
			}
			defer func() { _ = conn.Close() }()
			count++
			time.Sleep(5 * time.Millisecond)
		}
		accepted <- count
	}()
	l.Drain()
	if got := <-accepted; got != waiting {
		t.Errorf("%d of %d connections were accepted", got, waiting)
	}
	if _, err := net.Dial("tcp", l.BoundAddress()); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// Guards against a panic in one request that terminates the process and with it the requests of all callers.
func TestPanicAffectsOneRequest(t *testing.T) {
	b := newTestbed(t, startEcho(t, "fine"))
	parse := b.gateway.ParseLoad
	b.gateway.ParseLoad = func(value []byte) (dispatch.LoadReport, bool) {
		if bytes.Equal(value, []byte("9,9,9")) {
			panic("unexpected load")
		}
		return parse(value)
	}
	bad := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		return rawAnswer(200, r, "X-Load: 9,9,9\r\n", "x"), true
	})
	view := newView(t, b.gateway.Now, []*rawtarget.Target{bad})
	healthy := b.view.Swap(view)
	b.gateway.Log = slog.New(slog.DiscardHandler)
	c := b.dial(t)
	c.send("POST", "/once/", "id1", "x")
	if got, _, err := c.receive(); err == nil && got.StatusCode < 500 {
		t.Errorf("status %d", got.StatusCode)
	}
	b.view.Store(healthy)
	if got, body := b.dial(t).exchange("GET", "/safe/", "id2", ""); got.StatusCode != 200 || body != "fine" {
		t.Errorf("next request: status %d, body %q", got.StatusCode, body)
	}
	if b.gateway.Panics() != 1 {
		t.Errorf("%d panics were counted, want 1", b.gateway.Panics())
	}
}

// Guards against abandoning or retrying a request in flight because its target is silent, was reported unreachable, or is
// temporarily missing from the registry.
func TestSilentTargetKeepsItsRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			var runs atomic.Int64
			script := func(conn net.Conn, r *http.Request, _ int64) bool {
				runs.Add(1)
				time.Sleep(600 * time.Millisecond)
				_, err := io.WriteString(conn, rawAnswer(200, r, "", "done"))
				return err == nil
			}
			b := newTestbed(t, rawtarget.Start(t, script), rawtarget.Start(t, script))
			c := b.dial(t)
			c.send("POST", path, "id1", "x")
			for runs.Load() == 0 {
				time.Sleep(5 * time.Millisecond)
			}
			pool := b.view.Load().Pools["s"]
			for _, id := range []string{"t0", "t1"} {
				pool.MarkUnreachable(id)
			}
			pool.SetTargets(nil, 1, time.Now())
			b.gateway.CloseUnregistered(func(string) bool { return false })
			if got, body, err := c.receive(); err != nil || got.StatusCode != 200 || body != "done" {
				t.Errorf("%d %q %v", got.StatusCode, body, err)
			}
			if runs.Load() != 1 {
				t.Errorf("the request ran %d times", runs.Load())
			}
		})
	}
}

// Guards against sending a request long after its target was chosen, for example because the process was paused. The target may
// have been deregistered in the meantime.
func TestStaleDecisionIsRepeated(t *testing.T) {
	deregistered, remaining := startEcho(t, "deregistered"), startEcho(t, "remaining")
	b := newTestbed(t, deregistered)
	firstSend := make(chan struct{})
	b.gateway.beforeSend = func() {
		if firstSend != nil {
			close(firstSend)
			firstSend = nil
			target := registry.Target{Entry: registry.Entry{ID: "t9", Address: remaining.Address(), Zone: "a", Service: "s", Slots: 4}}
			b.view.Load().Pools["s"].SetTargets([]registry.Target{target}, 1, time.Now())
			time.Sleep(maxDecisionAge + 50*time.Millisecond)
		}
	}
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || !strings.HasPrefix(body, "remaining") {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	if deregistered.Requests.Load() != 0 {
		t.Error("the request reached the deregistered target")
	}
	if b.counter.retried[reason.RetryConnectionLost.Name] != 0 {
		t.Error("the second decision was counted as a retry")
	}
}

// Guards against sending a request to a target that was deregistered after it was chosen, for example while a connection was
// being opened.
func TestDeregisteredTargetGetsNoRequest(t *testing.T) {
	deregistered, remaining := startEcho(t, "deregistered"), startEcho(t, "remaining")
	b := newTestbed(t, deregistered)
	chosen := false
	b.gateway.beforeSend = func() {
		if !chosen {
			chosen = true
			target := registry.Target{Entry: registry.Entry{ID: "t9", Address: remaining.Address(), Zone: "a", Service: "s", Slots: 4}}
			b.view.Load().Pools["s"].SetTargets([]registry.Target{target}, 1, time.Now())
		}
	}
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || !strings.HasPrefix(body, "remaining") {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	if deregistered.Requests.Load() != 0 {
		t.Error("the request reached the deregistered target")
	}
}

// Guards against forwarding an answer whose head is truncated as a complete one with an empty or short body.
func TestTruncatedHeadIsNotForwarded(t *testing.T) {
	for _, framing := range []string{"Content-Length: 12", "Transfer-Encoding: chunked", "Connection: close"} {
		cuts := make(chan int, 1)
		target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n%s\r\nX-Last: 1\r\n\r\n", r.Header.Get("X-Id"), framing)
			return head[:<-cuts], false
		})
		b := newTestbed(t, target)
		length := len("HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Sig: s\r\n" + framing + "\r\nX-Last: 1\r\n\r\n")
		for at := range length {
			cuts <- at
			if got, body, err := b.dial(t).receiveFor("POST", fmt.Sprintf("/once/%d", at), "id"); err == nil && got.StatusCode < 500 {
				t.Errorf("%s, %d of %d bytes of the head: status %d, body %q", framing, at, length, got.StatusCode, body)
			}
		}
	}
}
