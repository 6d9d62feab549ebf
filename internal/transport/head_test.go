package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against a panic of the decoder that passes through the exchange: it has to be a malformed answer, so that the
// connection is closed and counted like after any other one.
func TestDecoderPanicIsAMalformedAnswer(t *testing.T) {
	conn := &Conn{}
	if err := conn.attach(replayConn{Reader: bytes.NewReader([]byte(okAnswer))}); err != nil {
		t.Fatal(err)
	}
	// The codec panics because there is no response to decode into.
	err := conn.readHead(&Answer{})
	var panicked *panicguard.Error
	if !errors.As(err, &panicked) || answerReason(err, conn.socketErr()) != reason.AnswerMalformed {
		t.Errorf("error %v, want a panic that counts as answer_malformed", err)
	}
}

// Guards against a connection or memory that stays in use when a callback of an exchange panics, which also holds up all later
// requests to the address once the limit on connections is reached.
func TestPanicInAnExchangeReleasesTheConnection(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool := testPool(t, target.Address(), 1)
	long := strings.Repeat("b", 4*writeBufferBytes)
	budget := membudget.New(64 << 20)
	grant, _ := budget.Open(0)
	accepts := testLimits
	accepts.Memory = grant
	accepts.Accept = func(*protocol.ResponseHeader, bool) bool { panic("fault") }
	for name, exchange := range map[string]func(ctx context.Context){
		"prepare": func(ctx context.Context) {
			prepare := func(*protocol.Request, time.Duration) error { panic("fault") }
			_, _ = pool.RoundTrip(ctx, newRequest("GET", target.Address(), "/", ""), testLimits, prepare)
		},
		"accept": func(ctx context.Context) {
			_, _ = pool.RoundTrip(ctx, newRequest("GET", target.Address(), "/", ""), accepts, nil)
		},
		"accept, long request": func(ctx context.Context) {
			_, _ = pool.RoundTrip(ctx, newRequest("POST", target.Address(), "/", long), accepts, nil)
		},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := panicguard.Catch(func() error { exchange(ctx); return nil }); err == nil {
			t.Errorf("%s: no panic", name)
		}
		cancel()
		if inUse := pool.InUse(); inUse != 0 || budget.Used() != 0 {
			t.Errorf("%s: %d connections and %d bytes are still in use", name, inUse, budget.Used())
		}
		if body, err := send(pool, newRequest("GET", target.Address(), "/", "")); err != nil || body != "ok" {
			t.Errorf("%s: the next exchange got %q, %v", name, body, err)
		}
	}
}

// Guards against answers in whose head the name of a field holds a blank or a control byte: they are accepted with that field, or,
// if the field tells where the body ends, with another body. Answers without a length are allowed, as on the caller's interface.
func TestMalformedNamesInHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	raws := []string{}
	for _, name := range rawtarget.MalformedNames("X-A") {
		line := name + ": 1\r\n"
		raws = append(raws, ok+line+"Content-Length: 2\r\n\r\nok", ok+"Content-Length: 2\r\n"+line+"\r\nok",
			ok+line+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ok+line+"\r\nok",
			"HTTP/1.1 204 No Content\r\n"+line+"\r\n", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+okAnswer)
	}
	for _, name := range rawtarget.MalformedNames("Content-Length") {
		raws = append(raws, ok+name+": 2\r\n\r\nok", ok+name+": 9\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, name := range rawtarget.MalformedNames("Transfer-Encoding") {
		raws = append(raws, ok+name+": chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ok+name+": chunked\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, raw := range raws {
		target := rawtarget.Start(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
			_, _ = io.WriteString(conn, raw)
			return false
		})
		limits := Limits{MaxBufferedBytes: 1 << 20, MaxBodyBytes: 1 << 20, AllowCloseDelimited: true}
		answer, err := testPool(t, target.Address(), 1).RoundTrip(t.Context(), newRequest("GET", target.Address(), "/", ""), limits, nil)
		var failure *ExchangeError
		if !errors.As(err, &failure) || failure.Reason != reason.AnswerMalformed {
			t.Errorf("%q: error %v, want %s", raw, err, reason.AnswerMalformed.Name)
		}
		if answer != nil {
			answer.Close()
		}
	}
}
