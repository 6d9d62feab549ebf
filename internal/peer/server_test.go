package peer

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// exhaustedListener fails once for lack of a descriptor and is closed then.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed {
		return nil, net.ErrClosed
	}
	l.failed = true
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Guards against a server that fails, which ends the process, because the process has no free descriptor for a moment.
func TestServerSurvivesLackOfDescriptors(t *testing.T) {
	s, err := newServer("secret", &Service{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.listener = &exhaustedListener{}
	if err := s.run(); err != nil {
		t.Errorf("the server ended with %v", err)
	}
}
