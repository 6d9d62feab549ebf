// Package accept accepts connections for the listeners of a process.
package accept

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// retryDelay is the delay after a temporary error, for example because the process has no free descriptor.
const retryDelay = 10 * time.Millisecond

var temporaryErrors atomic.Int64

// TemporaryErrors returns the number of temporary errors of all listeners since the start of the process.
func TemporaryErrors() int64 { return temporaryErrors.Load() }

// Retrying accepts the next connection of a listener. After a temporary error, which would otherwise end the accept loop of a server
// and with it the process, it waits and tries again.
func Retrying(l net.Listener) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		temporaryErrors.Add(1)
		time.Sleep(retryDelay)
	}
}

// isTemporary reports whether accept may succeed if it is called again after an error.
func isTemporary(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
