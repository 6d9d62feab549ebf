package relay

import (
	"context"
	"net"
	"strings"
)

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Blackhole returns a function that opens connections with dial. While active returns true, the network drops all packets
// to addresses with a prefix: bytes written are lost and new connections time out. Nothing tells the writer so.
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
		return &cutConn{Conn: conn, active: active}, nil
	}
}

type cutConn struct {
	net.Conn
	active func() bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.active() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
