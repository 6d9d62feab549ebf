package transport

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay is a fake network path. It can stop passing bytes on the connections that exist while new ones work. Like a
// relay on a real path it still acknowledges what it receives.
type relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	links    []*link
	accepted int
	running  sync.WaitGroup
}

type link struct {
	near, far net.Conn
	mu        sync.Mutex
	frozen    bool
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	r.running.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.accepted++
		r.mu.Unlock()
		r.running.Go(func() { l.pass(near, far) })
		r.running.Go(func() { l.pass(far, near) })
	}
}

// pass copies bytes until the connection ends; bytes of a frozen link are dropped.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		frozen := l.frozen
		l.mu.Unlock()
		if n > 0 && !frozen {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !frozen || err != io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}

// freeze silences the connections that exist.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.frozen = true
		l.mu.Unlock()
	}
}

func (r *relay) opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, l := range r.links {
		_ = l.near.Close()
		_ = l.far.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
