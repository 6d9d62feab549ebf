// Package rawtarget provides a fake target that answers with raw bytes, for tests of the HTTP/1.1 protocol handling.
package rawtarget

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Script answers a request with raw bytes on conn. The body of the request has been read, except with StartBeforeBody. Number
// is the number of the request at the target, starting at 1. The connection is closed if the script returns false.
type Script func(conn net.Conn, request *http.Request, number int64) bool

// Target is a fake target whose answers are written by a Script. It answers "OPTIONS *" itself, and does not count that
// as a request. It is safe for concurrent use.
type Target struct {
	// Requests is the number of requests read, and Accepted the number of connections accepted.
	Requests, Accepted atomic.Int64

	listener net.Listener
	script   Script
	// leaveBody is true if the script is called before the body of the request is read.
	leaveBody bool
	serving   sync.WaitGroup
	mu        sync.Mutex
	conns     []net.Conn
}

// BodyHeader is a header that the target adds to the request for the script. It holds the first 100 bytes of the body.
const BodyHeader = "X-Body"

// Start starts a target on a free loopback port and stops it when the test ends.
func Start(t testing.TB, script Script) *Target {
	t.Helper()
	return start(t, &Target{script: script})
}

// StartBeforeBody starts a target as Start does, but its script is called once the head of a request has arrived, and reads as
// much of the body from the request as it wants. The script has to read the whole body before it returns true.
func StartBeforeBody(t testing.TB, script Script) *Target {
	t.Helper()
	return start(t, &Target{script: script, leaveBody: true})
}

func start(t testing.TB, target *Target) *Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target.listener = listener
	target.serving.Go(target.accept)
	t.Cleanup(target.close)
	return target
}

// Address returns the listening address.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Stop closes the listener and all connections, as if the process of the target had terminated.
func (t *Target) Stop() {
	_ = t.listener.Close()
	t.DropConnections()
}

// DropConnections closes all connections but keeps accepting new ones, as if the process of the target had terminated and
// another process had taken over its address at once.
func (t *Target) DropConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_ = conn.Close()
	}
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.Accepted.Add(1)
		t.mu.Lock()
		t.conns = append(t.conns, conn)
		t.mu.Unlock()
		t.serving.Go(func() { t.serve(conn) })
	}
}

func (t *Target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "*" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !t.leaveBody {
			body, err := io.ReadAll(request.Body)
			request.Header.Set(BodyHeader, string(body[:min(len(body), 100)]))
			if err != nil {
				return
			}
		}
		if !t.script(conn, request, t.Requests.Add(1)) {
			return
		}
	}
}

func (t *Target) close() {
	t.Stop()
	t.serving.Wait()
}

// Always returns a script that answers every request with the same bytes and keeps the connection open.
func Always(raw string) Script {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, raw)
		return err == nil
	}
}

// MalformedNames returns names of header fields that are no tokens (RFC 9110, section 5.6.2): the empty name, and the given name
// with a blank, a control byte or a byte above 0x7f before, within or after it.
func MalformedNames(name string) []string {
	names := []string{""}
	for _, b := range []string{" ", "\t", "\x00", "\x01", "\v", "\r", "\x1f", "\x7f", "\x80", "\xc3\xa9"} {
		names = append(names, b+name, name[:1]+b+name[1:], name+b)
	}
	return names
}
