package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
)

// Guards against status 000, which servers in trouble send, being forwarded to the caller as an answer, reported as not run, or
// counted as an answer of the target.
func TestStatus000IsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with a phrase":    "HTTP/1.1 000 X\r\n",
		"without a phrase": "HTTP/1.1 000\r\n",
		"interim":          "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkMalformedAnswer(t, head+"Content-Length: 2\r\n\r\nok")
		})
	}
}

// Guards as TestStatus000IsNoAnswer does against an answer in whose head the name of a field holds a blank or a control byte.
func TestMalformedNameIsNoAnswer(t *testing.T) {
	for _, name := range rawtarget.MalformedNames("X-A") {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			checkMalformedAnswer(t, "HTTP/1.1 200 OK\r\n"+name+": 1\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// checkMalformedAnswer sends a request to a target that gives a malformed answer, and checks what the caller gets.
func checkMalformedAnswer(t *testing.T, raw string) {
	t.Helper()
	f := newFixture(t, rawtarget.Start(t, rawtarget.Always(raw)).Address())
	request, err := http.NewRequest("POST", "http://"+f.address+"/desk/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	got := send(newClient(t, false), request)
	if got.err != nil || got.status != http.StatusBadGateway || got.reason != reason.AnswerMalformed.Name || got.outcome != string(reason.Unknown) {
		t.Errorf("the caller got %+v, want 502, %s and an unknown outcome", got, reason.AnswerMalformed.Name)
	}
}

// Guards against a part of an answer without a length that is forwarded as a complete answer, because the target reset the connection
// while the request was still being written.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	f := newFixture(t, rawtarget.StartBeforeBody(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}).Address())
	client := newClient(t, false)
	for range 30 {
		request, err := http.NewRequest("POST", "http://"+f.address+"/desk/x", strings.NewReader(strings.Repeat("u", 900<<10)))
		if err != nil {
			t.Fatal(err)
		}
		got := send(client, request)
		if got.err != nil || got.status != http.StatusBadGateway || got.outcome != string(reason.Unknown) {
			t.Errorf("the caller got %+v, want 502 and an unknown outcome", got)
		}
	}
}
