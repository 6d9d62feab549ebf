package gateway

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

// listener opens its port in open, and survives errors of single accepts, which end the accept loop of the server
// otherwise. It is safe for concurrent use.
type listener struct {
	address string

	mu    sync.Mutex
	inner net.Listener
}

func (l *listener) open() error {
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner = inner
	return nil
}

func (l *listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

func (l *listener) boundAddress() string {
	if inner := l.current(); inner != nil {
		return inner.Addr().String()
	}
	return ""
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
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
func (l *listener) Close() error {
	if inner := l.current(); inner != nil {
		return inner.Close()
	}
	return nil
}

// Addr implements net.Listener. It is the zero address before open.
func (l *listener) Addr() net.Addr {
	if inner := l.current(); inner != nil {
		return inner.Addr()
	}
	return &net.TCPAddr{}
}

type socketKey struct{}

// rememberSocket makes the socket of an accepted connection available to the protocol server.
func rememberSocket(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, conn)
}
