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
		if err == nil || !passing(err) {
			return conn, err
		}
		time.Sleep(acceptPause)
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

// RememberSocket makes the socket of an accepted connection available to the protocol server.
func RememberSocket(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, conn)
}
