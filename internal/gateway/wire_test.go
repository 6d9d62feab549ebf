package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/header"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/standin/standintest"
	"github.com/basillink/basillink/internal/testwait"
)

// exchangeRaw writes raw on a new connection, then shuts down the sending side if closeSending is set, and reads one
// answer.
func exchangeRaw(t *testing.T, address, raw string, closeSending bool) (int, http.Header) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Errorf("%.60q: %v", raw, err)
	}
	if closeSending {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.60q: no answer: %v", raw, err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode, answer.Header
}

// Guards against invalid requests that are answered without a reason, create a metric label chosen by the caller, or
// reach a target.
func TestBadInput(t *testing.T) {
	get := "GET /desk/x HTTP/1.1\r\nHost: a\r\n"
	post := "POST /desk/x HTTP/1.1\r\nHost: a\r\n"
	cases := []struct {
		name, raw string
		status    int
		reason    string
	}{
		{"no request line", "hello\r\n\r\n", 400, "bad_request_line"},
		{"no version", "GET /desk/x\r\n\r\n", 400, "bad_request_line"},
		{"version 2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "bad_request_line"},
		{"space in target", "GET /desk/ x HTTP/1.1\r\n\r\n", 400, "bad_request_line"},
		{"control character in target", "GET /desk/\x01 HTTP/1.1\r\n\r\n", 400, "bad_request_line"},
		{"tls", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n", 400, "bad_request_line"},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad_request_line"},
		{"header truncated", get + "X: y", 400, "bad_framing"},
		{"length and chunks", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "bad_framing"},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, "bad_framing"},
		{"signed length", post + "Content-Length: +3\r\n\r\nabc", 400, "bad_framing"},
		{"other encoding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, "bad_framing"},
		{"space before colon", get + "Content-Length : 3\r\n\r\nabc", 400, "bad_framing"},
		{"folded header", get + "X: a\r\n b\r\n\r\n", 400, "bad_framing"},
		{"control character", get + "X: a\x00b\r\n\r\n", 400, "bad_framing"},
		{"header too large", get + "X: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", 431, "header_too_large"},
		{"body too large", post + "Content-Length: 2000000\r\n\r\n", 413, "body_too_large"},
		{"chunked body too large", post + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("a", 2<<20) + "\r\n0\r\n\r\n", 413, "body_too_large"},
		{"body truncated", post + "Content-Length: 10\r\n\r\nabc", 400, "body_truncated"},
		{"chunked body truncated", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", 400, "body_truncated"},
		{"timeout not a number", get + header.TimeoutMS + ": soon\r\n\r\n", 400, "bad_timeout"},
		{"timeout of zero", get + header.TimeoutMS + ": 0\r\n\r\n", 400, "bad_timeout"},
		{"attempts too high", get + header.Attempts + ": 9\r\n\r\n", 400, "bad_attempts"},
		{"unknown service", "GET /nobody-knows/x HTTP/1.1\r\nHost: a\r\n\r\n", 404, "unknown_service"},
		{"unknown service by header", get + header.Service + ": nobody\r\n\r\n", 404, "unknown_service"},
		{"unknown class", get + header.Class + ": nothing\r\n\r\n", 400, "unknown_class"},
	}
	target := standintest.StartTarget(t, "127.0.0.1:0", 64)
	f := newFixture(t, target.Address())
	for _, c := range cases {
		before := f.counts.refusals(c.reason)
		status, headers := exchangeRaw(t, f.address, c.raw, true)
		if status != c.status || headers.Get(header.Reason) != c.reason {
			t.Errorf("%s: status %d, reason %q", c.name, status, headers.Get(header.Reason))
		}
		if headers.Get(header.Outcome) != "not-run" || headers.Get(header.Instance) != "i1" {
			t.Errorf("%s: headers %v", c.name, headers)
		}
		if f.counts.refusals(c.reason) != before+1 {
			t.Errorf("%s: refusal not counted", c.name)
		}
	}
	for service := range f.counts.services {
		if service != "" && service != "desk" {
			t.Errorf("a caller created the label %q", service)
		}
	}
	if ran := target.Executions(); len(ran) > 0 {
		t.Errorf("a target ran %v", ran)
	}
	if got := send(newClient(t, false), f.request(t, "GET", "t1", standin.FaultNone, 0)); got.outcome != "done" {
		t.Errorf("after bad input: %+v", got)
	}
}

// Guards against hop-by-hop headers and headers of the protocol that are forwarded in either direction.
func TestForwardedHeaders(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "*" {
			return false
		}
		mu.Lock()
		seen = r.Header.Clone()
		mu.Unlock()
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"+
			"Basillink-Outcome: not-run\r\nBasillink-Next-Ticket: forged\r\nTarget-Load: 3\r\nX-Kept: a\r\nX-Kept: b\r\n"+
			"Set-Cookie: a=1; Path=/\r\nSet-Cookie: b=2\r\nContent-Type: x/y\r\nContent-Encoding: gzip\r\nServer: s\r\n\r\n")
		return err == nil
	}).Address()
	f := newFixture(t, target)
	_, headers := exchangeRaw(t, f.address, "GET /desk/x HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Secret\r\nConnection: close\r\nX-Secret: 1\r\n"+
		"Te: trailers\r\nUpgrade: h2c\r\nBasillink-Run-Id: forged\r\nBasillink-Forwarded: 0\r\nBasillink-Next-Ticket: t\r\n"+
		"Cookie: a=b; =odd; c\r\nUser-Agent: u\r\nX-Kept: a\r\nx-kept: b\r\nContent-Type: p/q\r\n\r\n", false)
	mu.Lock()
	defer mu.Unlock()
	for _, name := range []string{"Connection", "X-Secret", "Te", "Upgrade", "Basillink-Forwarded", "Basillink-Next-Ticket"} {
		if seen.Get(name) != "" {
			t.Errorf("the target saw %s: %s", name, seen.Get(name))
		}
	}
	if id := seen.Get(header.RunID); id == "" || id == "forged" {
		t.Errorf("run id %q", id)
	}
	expectValues(t, seen, map[string][]string{"Cookie": {"a=b; =odd; c"}, "User-Agent": {"u"}, "X-Kept": {"a", "b"}, "Content-Type": {"p/q"}, "Basillink-Attempts": {"3"}})
	if ticket := headers.Get(header.NextTicket); ticket == "forged" {
		t.Error("a ticket forged by a target reached the caller")
	}
	expectValues(t, headers, map[string][]string{
		"X-Kept": {"a", "b"}, "Set-Cookie": {"a=1; Path=/", "b=2"}, "Content-Type": {"x/y"}, "Content-Encoding": {"gzip"}, "Server": {"s"},
		"Basillink-Outcome": {"done"}, "X-Hop": nil, "Keep-Alive": nil, "Target-Load": nil, "Date": nil,
	})
}

// Guards against a repeated request that hides the target's status if the answer was too long to be stored, or that
// reports a length or content type that the target did not send.
func TestAnswerNotStored(t *testing.T) {
	const length = 2_000_000
	body := strings.Repeat("x", length)
	for _, c := range []struct{ raw, contentType, length string }{
		{"Content-Type: a/b\r\nContent-Length: 100000\r\n\r\n" + body[:100_000], "a/b", "100000"},
		{"Content-Length: 2000000\r\n\r\n" + body, "", "2000000"},
		{"Transfer-Encoding: chunked\r\n\r\n1e8480\r\n" + body + "\r\n0\r\n\r\n", "", ""},
	} {
		f := newFixture(t, rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 409 x\r\n"+c.raw)
			return err == nil
		}).Address())
		_, headers := exchangeRaw(t, f.address, "GET /.basillink/ticket HTTP/1.1\r\nHost: a\r\n\r\n", false)
		request := "POST /desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nBasillink-Forwarded: 1\r\nBasillink-Ticket: " + headers.Get(header.NextTicket) + "\r\n\r\n"
		_, first := exchangeRaw(t, f.address, request, false)
		status, headers := exchangeRaw(t, f.address, request, false)
		got := []string{headers.Get(header.Reason), headers.Get(header.AnswerStatus), headers.Get(header.AnswerType), headers.Get(header.AnswerLength)}
		if want := []string{"answer_not_kept", "409", c.contentType, c.length}; status != 409 || !slices.Equal(got, want) || first.Get("Content-Type") != c.contentType {
			t.Errorf("status %d, got %q, want %q, first answer %v", status, got, want, first)
		}
	}
}

// Guards against a caller that sets Basillink-Forwarded on its own request to reach a target without a valid ticket.
func TestForgedForwardedHeaderIsRefused(t *testing.T) {
	reached := make(chan struct{}, 1)
	target := rawtarget.Start(t, func(net.Conn, *http.Request, int64) bool {
		reached <- struct{}{}
		return false
	}).Address()
	f := newFixture(t, target)
	request, err := http.NewRequest(http.MethodGet, "http://"+f.address+"/desk/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(header.Forwarded, "1")
	request.Header.Set(header.Ticket, "t")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if got := answer.Header.Get(header.Reason); got != "ticket_invalid" || len(reached) > 0 {
		t.Errorf("status %d, reason %q, target reached %d times", answer.StatusCode, got, len(reached))
	}
}

func expectValues(t *testing.T, got http.Header, want map[string][]string) {
	t.Helper()
	for name, values := range want {
		if !slices.Equal(got.Values(name), values) {
			t.Errorf("%s: got %q, want %q", name, got.Values(name), values)
		}
	}
}

// Guards against wrong framing of answers without a body: answers to HEAD keep the length, 204 and 304 have no body, and
// the connection can be reused.
func TestAnswersWithoutBody(t *testing.T) {
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		status := r.Header.Get("X-Status")
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s x\r\n%s\r\n\r\n", status, r.Header.Get("X-Line"))
		return err == nil
	}).Address()
	f := newFixture(t, target)
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, c := range []struct{ method, status, line, length string }{
		{"HEAD", "200", "Content-Length: 77", "77"},
		{"HEAD", "200", "Transfer-Encoding: chunked", ""},
		{"GET", "204", "X: y", ""},
		{"GET", "304", "Etag: 1", ""},
		{"GET", "200", "Content-Length: 0", "0"},
	} {
		_, _ = fmt.Fprintf(conn, "%s /desk/x HTTP/1.1\r\nHost: a\r\nX-Status: %s\r\nX-Line: %s\r\n\r\n", c.method, c.status, c.line)
		answer, err := http.ReadResponse(reader, &http.Request{Method: c.method})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || len(body) > 0 || fmt.Sprint(answer.StatusCode) != c.status || answer.Header.Get("Content-Length") != c.length {
			t.Errorf("%v: status %d, header %v, body %q, error %v", c, answer.StatusCode, answer.Header, body, err)
		}
	}
}

// Guards against a target that continues to work for a caller that has disconnected: the gateway must close the connection
// to the target.
func TestCallerDisconnectCancelsExchange(t *testing.T) {
	var started, cancelled atomic.Int64
	target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		started.Add(1)
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			cancelled.Add(1)
		}
		return false
	}).Address()
	f := newFixture(t, target)
	for _, pipelined := range []string{"", "GET /desk/y HTTP/1.1\r\n"} {
		before := cancelled.Load()
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET /desk/x HTTP/1.1\r\nHost: a\r\n\r\n"+pipelined)
		testwait.Until(t, "the request at the target", func() bool { return started.Load() == before+1 })
		_ = conn.Close()
		testwait.Until(t, "the cancellation", func() bool { return cancelled.Load() == before+1 })
	}
	testwait.Until(t, "the count", func() bool { return f.counts.refusals("caller_left_running") == 2 })
}

// Guards against a remaining time that is computed once when the request arrives instead of before each attempt.
func TestRemainingTimeShrinks(t *testing.T) {
	var mu sync.Mutex
	var timeouts []string
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		mu.Lock()
		timeouts = append(timeouts, r.Header.Get(header.TimeoutMS))
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nTarget-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}).Address()
	f := newFixture(t, target, target)
	request := f.request(t, "GET", "t1", standin.FaultNone, 0)
	request.Header.Set(header.TimeoutMS, "800")
	request.Header.Set(header.Attempts, "2")
	send(newClient(t, false), request)
	mu.Lock()
	defer mu.Unlock()
	if len(timeouts) != 2 || len(timeouts[0]) != 3 || timeouts[1] >= timeouts[0] || timeouts[1] > "700" {
		t.Errorf("the target received timeouts of %v ms", timeouts)
	}
}
