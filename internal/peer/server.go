package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"

	"github.com/gravitational/trace"
)

// maxAccepted bounds the connections of peers.
const maxAccepted = 1024

// server accepts connections of peers.
type server struct {
	secret string
	rpc    *rpc.Server
	log    *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
}

func newServer(secret string, service *Service, log *slog.Logger) (*server, error) {
	s := &server{secret: secret, rpc: rpc.NewServer(), log: log, conns: map[net.Conn]bool{}}
	return s, trace.Wrap(s.rpc.RegisterName("Peer", service))
}

// open opens the listener.
func (s *server) open(address string) error {
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

// run accepts connections until close.
func (s *server) run() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.track(conn); err != nil {
			s.log.Warn("Refused a connection of a peer.", "error", err)
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer s.forget(conn)
	same, err := handshakeServer(conn, s.secret)
	if err != nil {
		s.log.Warn("Refused a connection of a peer.", "address", conn.RemoteAddr().String(), "error", err)
		return
	}
	s.rpc.ServeCodec(newCodec(conn, idleTimeout, same))
}

func (s *server) track(conn net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxAccepted {
		return &LimitError{Limit: maxAccepted}
	}
	s.conns[conn] = true
	return nil
}

func (s *server) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close stops accepting and closes all connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}
