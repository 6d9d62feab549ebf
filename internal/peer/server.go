package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/accept"
)

const (
	// maxServerConns limits the open connections accepted from peers that know the secret.
	maxServerConns = 1024
	// maxHandshakes limits the connections whose handshake is not complete. A handshake takes a few milliseconds, so that only
	// connections of others reach handshakeEvictionAge, at which they are closed for new ones.
	maxHandshakes        = 96
	handshakeEvictionAge = 500 * time.Millisecond
)

// server accepts connections from peers and serves their calls.
type server struct {
	secret string
	rpc    *rpc.Server
	log    *slog.Logger
	// handshakes are the connections whose handshake is not complete.
	handshakes *accept.Limit

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
}

// newServer returns a server that does not listen yet.
func newServer(secret string, service *Service, log *slog.Logger) (*server, error) {
	s := &server{secret: secret, rpc: rpc.NewServer(), log: log, conns: map[net.Conn]bool{}, handshakes: accept.NewLimit(maxHandshakes, handshakeEvictionAge)}
	return s, trace.Wrap(s.rpc.RegisterName("Peer", service))
}

// listen opens the listener.
func (s *server) listen(address string) error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return nil
}

// run accepts connections until close. listen must be called first.
func (s *server) run() error {
	for {
		conn, err := accept.Retrying(s.listener)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if !s.handshakes.Add(conn) {
			s.log.Debug("Closed a new connection at the limit.", "limit", maxHandshakes)
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// serve performs the handshake and serves calls until the connection is closed.
func (s *server) serve(conn net.Conn) {
	defer s.closeConn(conn)
	sameTypes, err := handshakeServer(conn, s.secret)
	s.handshakes.Remove(conn)
	if err == nil {
		err = s.track(conn)
	}
	if err != nil {
		s.log.Warn("Refused a peer connection.", "address", conn.RemoteAddr().String(), "error", err)
		return
	}
	s.rpc.ServeCodec(newCodec(conn, idleTimeout, sameTypes))
}

// track registers an open connection. It returns a *LimitError if there are too many or the server is closed.
func (s *server) track(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConns {
		return &LimitError{Limit: maxServerConns}
	}
	s.conns[conn] = true
	return nil
}

// closeConn closes a connection and removes it from the open ones.
func (s *server) closeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close stops accepting connections and closes all open ones.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.handshakes.CloseAll()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
