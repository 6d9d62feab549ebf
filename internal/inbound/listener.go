// Package inbound implements the server side of connections from callers, for packages gateway and ingress: the listener, the
// tracking of connections, the strict parsing of HTTP/1 requests and the detection of disconnected callers.
package inbound

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/accept"
)

// Listener is a TCP listener that retries accept after temporary errors, which would otherwise end the accept loop of the server.
// Open must be called before Accept. It is safe for concurrent use.
type Listener struct {
	// Address is the host and port to listen on.
	Address string

	mu    sync.Mutex
	inner net.Listener
	// drained is set while Drain runs. It is closed when Accept has failed, after which no pending connection is left.
	drained chan struct{}
}

// Open starts to listen. It is separate from Accept so that an unusable address is reported before anything else is started.
func (l *Listener) Open() error {
	// TCP keep-alive is not needed, because the server closes idle connections. Enabling it would cost four system calls for
	// each connection.
	config := net.ListenConfig{KeepAlive: -1}
	inner, err := config.Listen(context.Background(), "tcp", l.Address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner = inner
	return nil
}

// current returns the listener that Open created, or nil before Open.
func (l *Listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// BoundAddress returns the listening address. It is empty before Open.
func (l *Listener) BoundAddress() string {
	if inner := l.current(); inner != nil {
		return inner.Addr().String()
	}
	return ""
}

// Accept implements net.Listener. After a temporary error it waits and tries again.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := accept.Retrying(l.current())
	if err != nil {
		l.endDrain()
		return nil, err
	}
	l.extendDrain()
	return conn, nil
}

const (
	// drainQuietPeriod is how long no connection may have arrived before Drain closes the listener. Closing it resets the
	// connections in the accept queue with the requests on them.
	drainQuietPeriod = 30 * time.Millisecond
	// drainTimeout bounds the duration of Drain.
	drainTimeout = 500 * time.Millisecond
)

// Drain waits until the connections in the accept queue have been accepted by Accept and no new one has arrived for
// drainQuietPeriod, at most for drainTimeout. Then it closes the listener.
func (l *Listener) Drain() {
	drained := make(chan struct{})
	l.mu.Lock()
	l.drained = drained
	l.mu.Unlock()
	l.extendDrain()
	select {
	case <-drained:
	case <-time.After(drainTimeout):
	}
	_ = l.Close()
}

// extendDrain restarts the quiet period if Drain is running.
func (l *Listener) extendDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inner, ok := l.inner.(*net.TCPListener); ok && l.drained != nil {
		// The error can be ignored: if the listener was closed in the meantime, Accept fails.
		_ = inner.SetDeadline(time.Now().Add(drainQuietPeriod))
	}
}

// endDrain makes Drain close the listener.
func (l *Listener) endDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained != nil {
		close(l.drained)
		l.drained = nil
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	if inner := l.current(); inner != nil {
		return inner.Close()
	}
	return nil
}

// Addr implements net.Listener. It returns the zero address before Open.
func (l *Listener) Addr() net.Addr {
	if inner := l.current(); inner != nil {
		return inner.Addr()
	}
	return &net.TCPAddr{}
}

// socketKey is the context key of the socket that ContextWithSocket stores.
type socketKey struct{}

// ContextWithSocket returns a context that carries the socket of an accepted connection. Connections.Add, WatchDisconnect,
// CallerDisconnected and Linger need it, because the server passes on only a wrapper of the connection.
func ContextWithSocket(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, conn)
}
