// Package relay simulates faults of a network path in tests: a TCP relay that can stop forwarding on its open connections,
// and a dial function whose connections lose all bytes.
package relay

import (
	"io"
	"net"
	"sync"
)

// Relay is a TCP relay to a target. It can stop forwarding on the connections that are open while new ones work. Like a
// relay on a real network path, it still acknowledges the bytes that it receives. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	links    []*link
	accepted int
	running  sync.WaitGroup
}

// link is a connection accepted from a client and the connection to the target that it is forwarded to.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	frozen         bool
}

// New starts a relay to a target, an address of the form host:port, on a free loopback port. Close must be called.
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.accepted++
		r.mu.Unlock()
		r.running.Go(func() { l.forward(client, server) })
		r.running.Go(func() { l.forward(server, client) })
	}
}

// forward copies bytes in one direction until the connection ends, and then closes the other one. While the link is
// frozen, it drops the bytes and does not pass on the end of the stream; it does pass on any other error.
func (l *link) forward(from, to net.Conn) {
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

// Freeze stops forwarding on all connections that are open now. They stay open.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.frozen = true
		l.mu.Unlock()
	}
}

// Accepted returns the number of connections that were accepted and connected to the target.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close closes the listener and all connections, and waits for the goroutines of the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, l := range r.links {
		_ = l.client.Close()
		_ = l.server.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
