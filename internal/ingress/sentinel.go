package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// witness is a connection to a target that carries nothing. It breaks when the target's process ends, also if another process
// accepts connections at the address at once.
type sentinelConn struct{ conn net.Conn }

// openWitness opens a connection to a target. It returns nil where that fails, and whether nothing listens there.
func dialSentinel(ctx context.Context, address string, timeout time.Duration) (w *sentinelConn, refused bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return &sentinelConn{conn}, false
}

// breaks waits for the target to end the connection, at most for a time. Bytes that nobody asked for are no end.
func (w *sentinelConn) closesWithin(within time.Duration) bool {
	if w == nil || w.conn.SetReadDeadline(time.Now().Add(within)) != nil {
		return false
	}
	var b [1]byte
	n, err := w.conn.Read(b[:])
	return n == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (w *sentinelConn) close() {
	if w != nil {
		_ = w.conn.Close()
	}
}
