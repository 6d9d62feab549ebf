// Package inbound holds what accepting requests of callers needs, whichever interface they speak: the listener, the
// connections, the strict reading of a request and the watch for callers that leave.
package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// acceptPause is the pause after a failed accept, for example while the process has no free file descriptor.
const acceptPause = 10 * time.Millisecond

// Listener opens its port in Open, and survives errors of single accepts, which end the accept loop of the server
// otherwise. It is safe for concurrent use.
type Listener struct {
	Address string

	mu    sync.Mutex
	inner net.Listener
	// quiet is set while the listener is being drained, and closed when no connection waits any more.
	quiet chan struct{}
}

// Open opens the port, so that an address that cannot be used is reported before anything runs.
func (l *Listener) Open() error {
	// Idle connections are closed by the server, so that the kernel's probes, four system calls a connection, are not
	// needed.
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

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner := l.current()
	for {
		conn, err := inner.Accept()
		if err == nil {
			l.extendDrain()
			return conn, nil
		}
		if !passing(err) {
			l.endDrain()
			return nil, err
		}
		time.Sleep(acceptPause)
	}
}

const (
	// drainQuiet is how long no connection may come before the listener is closed, and drainLimit how long that is waited
	// for. Closing resets the connections that the kernel has accepted, with the requests on them.
	drainQuiet = 30 * time.Millisecond
	drainLimit = 500 * time.Millisecond
)

// Drain lets the connections that wait in the kernel be accepted, and closes the listener when none comes any more.
func (l *Listener) Drain() {
	quiet := make(chan struct{})
	l.mu.Lock()
	l.quiet = quiet
	l.mu.Unlock()
	l.extendDrain()
	select {
	case <-quiet:
	case <-time.After(drainLimit):
	}
	_ = l.Close()
}

func (l *Listener) extendDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inner, ok := l.inner.(*net.TCPListener); ok && l.quiet != nil {
		// A listener that was closed meanwhile fails in Accept.
		_ = inner.SetDeadline(time.Now().Add(drainQuiet))
	}
}

func (l *Listener) endDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quiet != nil {
		close(l.quiet)
		l.quiet = nil
	}
}

// passing reports whether a later accept may succeed.
func passing(err error) bool {
	for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	if inner := l.current(); inner != nil {
		return inner.Close()
	}
	return nil
}

// Addr implements net.Listener. It is the zero address before Open.
func (l *Listener) Addr() net.Addr {
	if inner := l.current(); inner != nil {
		return inner.Addr()
	}
	return &net.TCPAddr{}
}

type socketKey struct{}

// ContextWithSocket makes the socket of an accepted connection available to the protocol server.
func ContextWithSocket(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, conn)
}
