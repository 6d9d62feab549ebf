package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// sentinelConn is an idle connection to a target. The operating system closes it when the target's process terminates, which
// shows the termination even if another process accepts connections at the same address at once. A nil *sentinelConn is
// valid: it never closes.
type sentinelConn struct{ conn net.Conn }

// dialSentinel opens a connection to a target. It ignores a cancellation of the context, so that it also works after the
// caller has left. If it fails, it returns nil and whether the connection was refused.
func dialSentinel(ctx context.Context, address string, timeout time.Duration) (s *sentinelConn, refused bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return &sentinelConn{conn}, false
}

// closesWithin waits until the target closes the connection, and reports whether it did so before the timeout. It returns false
// if the target sends data instead.
func (s *sentinelConn) closesWithin(timeout time.Duration) bool {
	if s == nil || s.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	var b [1]byte
	n, err := s.conn.Read(b[:])
	return n == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *sentinelConn) close() {
	if s != nil {
		_ = s.conn.Close()
	}
}
