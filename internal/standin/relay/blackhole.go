package relay

import (
	"context"
	"net"
	"strings"
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Blackhole returns a function that opens connections with dial. While active returns true, it simulates a network that
// drops all packets to addresses with the prefix: writes succeed but their bytes are lost, and new connections time out.
// Active must be safe for concurrent use.
func Blackhole(dial DialFunc, prefix string, active func() bool) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !strings.HasPrefix(address, prefix) {
			return dial(ctx, network, address)
		}
		if active() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &blackholeConn{Conn: conn, active: active}, nil
	}
}

// blackholeConn discards all bytes written while active returns true.
type blackholeConn struct {
	net.Conn
	active func() bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.active() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
