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

// Guards against a late copy of a refusal without an id, which says of the next request on the connection that it did not
// run: a request that may not be repeated then runs twice.
func TestLateRefusalWithoutIDProvesNothing(t *testing.T) {
	const copied = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	script := func(r *http.Request, _ int64) (string, bool) {
		raw := rawAnswer(200, r, "", "for "+r.Header.Get("X-Id"))
		if r.Header.Get("X-Id") != "id2" {
			return raw, true
		}
		runs.Add(1)
		return copied + raw, true
	}
	b := newTestbed(t, startScripted(t, script))
	c := b.dial(t)
	c.exchange("POST", "/once/", "id1", "x")
	got, body := c.exchange("POST", "/once/", "id2", "x")
	if got.StatusCode == 503 || runs.Load() != 1 {
		t.Errorf("status %d, the request ran %d times", got.StatusCode, runs.Load())
	}
	if got.StatusCode == 200 && body != "for id2" {
		t.Errorf("the answer of another request: %q", body)
	}
}

// Guards against refusals without an id that are not believed on a connection of their own, where no late copy can come.
func TestRefusalWithoutIDOnFreshConnection(t *testing.T) {
	script := func(*http.Request, int64) (string, bool) {
		return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	b := newTestbed(t, startScripted(t, script))
	if got, _ := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 503 {
		t.Errorf("status %d", got.StatusCode)
	}
}

// Guards against late second answers in other forms than the first one: of another length, in pieces, without a length, with
// an interim answer before it, or with the id of the request that was sent again.
func TestLateSecondAnswers(t *testing.T) {
	first := func(r *http.Request, body string) string {
		return strings.ReplaceAll(rawAnswer(200, r, "", body), r.Header.Get("X-Id"), "id1")
	}
	cases := map[string]func(r *http.Request) []string{
		"same length":    func(r *http.Request) []string { return []string{first(r, "for id1")} },
		"other length":   func(r *http.Request) []string { return []string{first(r, strings.Repeat("z", 5000))} },
		"in pieces":      func(r *http.Request) []string { s := first(r, "for id1"); return []string{s[:9], s[9:30], s[30:]} },
		"interim before": func(r *http.Request) []string { return []string{"HTTP/1.1 100 C\r\n\r\n" + first(r, "for id1")} },
		"two of them":    func(r *http.Request) []string { return []string{first(r, "for id1"), first(r, "for id1")} },
		"success, no id": func(*http.Request) []string { return []string{"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc"} },
		"chunked": func(*http.Request) []string {
			return []string{"HTTP/1.1 200 X\r\nX-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}
		},
		"id in other case": func(r *http.Request) []string {
			return []string{strings.Replace(first(r, "x"), "X-Id: id1", "x-ID: ID2", 1)}
		},
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
				if r.Header.Get("X-Id") == "id2" {
					for _, piece := range late(r) {
						_, _ = io.WriteString(conn, piece)
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

// endless writes bytes until the connection fails, and reports how many the other side took.
func writeEndlessly(taken *atomic.Int64, begin, more string, pause time.Duration) rawtarget.Script {
	return func(conn net.Conn, r *http.Request, _ int64) bool {
		defer taken.CompareAndSwap(-1, 0)
		n, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", r.Header.Get("X-Id")))
		total := int64(n)
		for err == nil {
			n, err = io.WriteString(conn, more)
			total += int64(n)
			time.Sleep(pause)
		}
		taken.Store(total)
		return false
	}
}

// Guards against bytes without end that hold a caller, a connection or memory: in a status line, a head, a trailer, a chunk's
// extension, interim answers and bodies, fast or one at a time, until this side closes.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n"
	fast := strings.Repeat("z", 4<<10)
	cases := []struct {
		name, begin, more string
		pause             time.Duration
		// within is when the caller must have its answer, and most what may be read of the bytes.
		within time.Duration
		most   int64
	}{
		{"no answer at all", "", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"no answer, one byte at a time", "", "z", time.Millisecond, 300 * time.Millisecond, 4 << 20},
		{"status line", "HTTP/1.1 200 ", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"header", head + "X-Long: ", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"headers", head, "X-More: z\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"headers, one at a time", head, "X-More: z\r\n", time.Millisecond, 1100 * time.Millisecond, 4 << 20},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", fast, 0, 300 * time.Millisecond, 4 << 20},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: z\r\n", 0, 300 * time.Millisecond, 4 << 20},
		{"trailer, one byte at a time", head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "z", time.Millisecond, 1100 * time.Millisecond, 4 << 20},
		{"tiny chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 0, 1100 * time.Millisecond, 80 << 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var taken atomic.Int64
			taken.Store(-1)
			b := newTestbed(t, rawtarget.Start(t, writeEndlessly(&taken, c.begin, c.more, c.pause)))
			began := time.Now()
			caller := b.dial(t)
			caller.send("POST", "/once/", "id1", "x")
			got, _, err := caller.receive()
			if elapsed := time.Since(began); elapsed > c.within {
				t.Errorf("the caller waited %s", elapsed)
			}
			if err == nil && got.StatusCode < 500 {
				t.Errorf("the caller got %d as a whole answer", got.StatusCode)
			}
			for deadline := time.Now().Add(2 * time.Second); taken.Load() < 0 && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			if n := taken.Load(); n < 0 || n > c.most {
				t.Errorf("the target got rid of %d bytes (-1: still writing)", n)
			}
		})
	}
}

// Guards against bytes after a whole answer that reach the next caller, and a connection that stays open under them.
func TestBytesWithoutEndAfterAnAnswer(t *testing.T) {
	var taken atomic.Int64
	taken.Store(-1)
	var first atomic.Bool
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, n int64) bool {
		if first.CompareAndSwap(false, true) {
			return writeEndlessly(&taken, rawAnswer(200, r, "", "whole"), "zzzz", 0)(conn, r, n)
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
	for deadline := time.Now().Add(ConnectionIdleTimeout + 2*time.Second); taken.Load() < 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if taken.Load() < 0 {
		t.Error("the target still writes")
	}
}

// Guards against requests that are cut off by a planned stop: those that the kernel has accepted and nobody has read yet, those
// whose head has arrived in part, and those on kept connections that cross the close.
func TestStopUnderLoadCutsNothing(t *testing.T) {
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		time.Sleep(30 * time.Millisecond)
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		return err == nil
	})
	b := newTestbed(t, target)
	roomy := registry.Target{Entry: registry.Entry{ID: "t0", Address: target.Address(), Zone: "a", Service: "s", Slots: 200}}
	b.view.Load().Pools["s"].SetTargets([]registry.Target{roomy}, 1, time.Now())
	const callers = 60
	stopping := make(chan struct{})
	var cut, served sync.Map
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
				cut.Store(i, fmt.Sprintf("%q, %v", reply, err))
				return
			}
			served.Store(i, true)
		})
	}
	time.Sleep(50 * time.Millisecond)
	// Requests arrive in the moment of the stop.
	close(stopping)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := b.gateway.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	group.Wait()
	cut.Range(func(caller, got any) bool {
		t.Errorf("caller %v was cut off: %v", caller, got)
		return true
	})
}

// Guards against connections that the kernel has accepted and that a stop resets because nobody accepted them yet.
func TestStopAcceptsWhatWaits(t *testing.T) {
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
		t.Error("the listener still accepts")
	}
}

// Guards against a panic in one request that takes the process and all its callers down.
func TestPanicEndsOneRequest(t *testing.T) {
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
		t.Errorf("the next request: %d %q", got.StatusCode, body)
	}
	if b.gateway.Panics() != 1 {
		t.Errorf("%d panics were counted", b.gateway.Panics())
	}
}

// Guards against running work that is given up or started again because its target is silent, was reported unreachable, or
// is missing from the records for a while.
func TestWorkOfASilentTargetGoesOn(t *testing.T) {
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

// Guards against a decision that is carried out long after it was taken, for example because the process was paused: the
// target may have left meanwhile.
func TestOldDecisionIsTakenAgain(t *testing.T) {
	left, stays := startEcho(t, "left"), startEcho(t, "stays")
	b := newTestbed(t, left)
	pause := make(chan struct{})
	b.gateway.beforeSend = func() {
		if pause != nil {
			close(pause)
			pause = nil
			target := registry.Target{Entry: registry.Entry{ID: "t9", Address: stays.Address(), Zone: "a", Service: "s", Slots: 4}}
			b.view.Load().Pools["s"].SetTargets([]registry.Target{target}, 1, time.Now())
			time.Sleep(maxDecisionAge + 50*time.Millisecond)
		}
	}
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || !strings.HasPrefix(body, "stays") {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	if left.Requests.Load() != 0 {
		t.Error("the request reached the target that had left")
	}
	if b.counter.retried[reason.RetryConnectionLost.Name] != 0 {
		t.Error("it counts as a retry")
	}
}

// Guards against a request that is sent to a target whose departure became known between the decision and the sending, as while a connection
// is opened.
func TestTargetThatLeftSinceTheDecisionGetsNothing(t *testing.T) {
	left, stays := startEcho(t, "left"), startEcho(t, "stays")
	b := newTestbed(t, left)
	decided := false
	b.gateway.beforeSend = func() {
		if !decided {
			decided = true
			target := registry.Target{Entry: registry.Entry{ID: "t9", Address: stays.Address(), Zone: "a", Service: "s", Slots: 4}}
			b.view.Load().Pools["s"].SetTargets([]registry.Target{target}, 1, time.Now())
		}
	}
	if got, body := b.dial(t).exchange("POST", "/once/", "id1", "x"); got.StatusCode != 200 || !strings.HasPrefix(body, "stays") {
		t.Errorf("%d %q", got.StatusCode, body)
	}
	if left.Requests.Load() != 0 {
		t.Error("the request reached the target that had left")
	}
}

// Guards against an answer that ends in the middle of its head and reaches the caller as a whole one with an empty or short body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 12", "Transfer-Encoding: chunked", "Connection: close"} {
		cut := make(chan int, 1)
		target := startScripted(t, func(r *http.Request, _ int64) (string, bool) {
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sig: s\r\n%s\r\nX-Last: 1\r\n\r\n", r.Header.Get("X-Id"), framing)
			return whole[:<-cut], false
		})
		b := newTestbed(t, target)
		length := len("HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Sig: s\r\n" + framing + "\r\nX-Last: 1\r\n\r\n")
		for at := range length {
			cut <- at
			if got, body, err := b.dial(t).receiveFor("POST", fmt.Sprintf("/once/%d", at), "id"); err == nil && got.StatusCode < 500 {
				t.Errorf("%s, %d of %d bytes of the head: status %d, body %q", framing, at, length, got.StatusCode, body)
			}
		}
	}
}
