package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails with each of its errors once and then returns a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a listener that ends, and with it the process, because the process has no free descriptor for a moment, and against
// such a lack that no metric tells.
func TestTemporaryErrorsAreRetried(t *testing.T) {
	l := &failingListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM}}
	before := TemporaryErrors()
	if conn, err := Retrying(l); conn == nil || err != nil {
		t.Errorf("connection %v, error %v", conn, err)
	}
	if counted := TemporaryErrors() - before; counted != 5 {
		t.Errorf("%d errors were counted, want 5", counted)
	}
}

// Guards against an accept loop that does not end although its listener is closed or unusable.
func TestOtherErrorsAreReturned(t *testing.T) {
	for _, want := range []error{net.ErrClosed, syscall.EINVAL} {
		if _, err := Retrying(&failingListener{errs: []error{want}}); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}
