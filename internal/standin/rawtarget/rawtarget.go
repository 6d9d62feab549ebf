// Package rawtarget is a stand-in for a target that answers with raw bytes, for tests of the wire.
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

// Script writes raw bytes in answer to a request, which was read whole. The number counts requests from 1. The
// connection is closed when the script returns false.
type Script func(conn net.Conn, request *http.Request, number int64) bool

// Target is a target that answers with raw bytes. It answers "OPTIONS *" by itself, without counting it as a request.
type Target struct {
	// Requests and Accepted count requests and connections.
	Requests, Accepted atomic.Int64

	listener net.Listener
	script   Script
	served   sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// BodyHeader holds the first 100 bytes of the body in the request that a script sees.
const BodyHeader = "X-Body"

// Start starts a target on a free port and stops it when the test ends.
func Start(t testing.TB, script Script) *Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &Target{listener: listener, script: script}
	w.served.Go(w.accept)
	t.Cleanup(w.close)
	return w
}

// Address returns the listening address.
func (w *Target) Address() string { return w.listener.Addr().String() }

// Stop closes the listener and all connections, as the end of the target's process does.
func (w *Target) Stop() {
	_ = w.listener.Close()
	w.DropConnections()
}

// DropConnections closes all connections and goes on accepting, as the end of a process does whose address is in use again at once.
func (w *Target) DropConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *Target) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.Accepted.Add(1)
		w.mu.Lock()
		w.conns = append(w.conns, conn)
		w.mu.Unlock()
		w.served.Go(func() { w.serve(conn) })
	}
}

func (w *Target) serve(conn net.Conn) {
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
		body, err := io.ReadAll(request.Body)
		request.Header.Set(BodyHeader, string(body[:min(len(body), 100)]))
		if err != nil || !w.script(conn, request, w.Requests.Add(1)) {
			return
		}
	}
}

func (w *Target) close() {
	w.Stop()
	w.served.Wait()
}

// Always answers every request with the same bytes and keeps the connection.
func Always(raw string) Script {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, err := io.WriteString(conn, raw)
		return err == nil
	}
}
