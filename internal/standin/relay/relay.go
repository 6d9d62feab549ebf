// Package relay is a fake network path for tests: a TCP relay that can stop passing bytes on the connections that exist.
package relay

import (
	"io"
	"net"
	"sync"
)

// Relay passes bytes to a target. It can stop passing them on the connections that exist while new ones work. Like a
// relay on a real path it still acknowledges what it receives. It is safe for concurrent use.
type Relay struct {
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

// New returns a relay to a target on a loopback address. Close must be called.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the listening address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
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

// Freeze silences the connections that exist.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.frozen = true
		l.mu.Unlock()
	}
}

// Accepted returns the number of connections that were accepted.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close ends all connections and waits for the goroutines of the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, l := range r.links {
		_ = l.near.Close()
		_ = l.far.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
