package accept

import (
	"io"
	"net"
	"testing"
	"time"
)

// newConn returns a connection and whether it was closed.
func newConn(t *testing.T) (net.Conn, func() bool) {
	t.Helper()
	conn, other := net.Pipe()
	t.Cleanup(func() { _ = conn.Close(); _ = other.Close() })
	return conn, func() bool {
		_ = other.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := other.Read(make([]byte, 1))
		return err == io.EOF
	}
}

// Guards against more connections than the limit, against the eviction of a young connection, and against an old one that keeps a new one
// out.
func TestOldestConnectionIsEvicted(t *testing.T) {
	now := time.Unix(1, 0)
	l := NewLimit(2, time.Second)
	l.Now = func() time.Time { return now }
	first, firstClosed := newConn(t)
	second, secondClosed := newConn(t)
	third, _ := newConn(t)
	l.Add(first)
	now = now.Add(500 * time.Millisecond)
	l.Add(second)
	if now = now.Add(400 * time.Millisecond); l.Add(third) || firstClosed() {
		t.Error("a connection of 0.9 s was evicted")
	}
	if now = now.Add(100 * time.Millisecond); !l.Add(third) || !firstClosed() || secondClosed() {
		t.Error("the oldest connection, of 1 s, was not evicted")
	}
	if evicted, refused := l.Counts(); evicted != 1 || refused != 1 {
		t.Errorf("%d evicted and %d refused, want 1 of each", evicted, refused)
	}
}

// Guards against connections that have ended and still count.
func TestEndedConnectionsDoNotCount(t *testing.T) {
	l := NewLimit(1, time.Hour)
	for n := range 3 {
		conn, _ := newConn(t)
		if !l.Add(conn) {
			t.Fatalf("connection %d was refused", n)
		}
		l.Remove(conn)
	}
}
