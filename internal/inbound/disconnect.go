package inbound

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DisconnectPollInterval is the default interval between checks whether a waiting caller has disconnected. It is short enough to
// detect a disconnect within the documented 100 ms, and a request that takes less time than the interval costs no system call.
const DisconnectPollInterval = 40 * time.Millisecond

// disconnectWatcher cancels the context of a request when the caller closes the connection or its sending half.
type disconnectWatcher struct {
	raw      syscall.RawConn
	cancel   context.CancelFunc
	interval time.Duration

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// WatchDisconnect returns a context that is cancelled when the caller disconnects, which is checked at the given interval. The
// function that it returns stops the checks and cancels the context; it must be called. If the context carries no socket, a
// disconnect is not detected.
func WatchDisconnect(ctx context.Context, interval time.Duration) (context.Context, func()) {
	socket, ok := ctx.Value(socketKey{}).(syscall.Conn)
	ctx, cancel := context.WithCancel(ctx)
	if !ok {
		return ctx, cancel
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	w := &disconnectWatcher{raw: raw, cancel: cancel, interval: interval}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(interval, w.check)
	return ctx, w.stop
}

// CallerDisconnected reports whether the caller has closed the connection or its sending half. It returns false if the context
// carries no socket.
func CallerDisconnected(ctx context.Context) bool {
	socket, ok := ctx.Value(socketKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	return err != nil || disconnected(raw)
}

func (w *disconnectWatcher) check() {
	if disconnected(w.raw) {
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.interval)
	}
}

func (w *disconnectWatcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.cancel()
}

// disconnected reports whether the peer closed the connection or its sending half, also if unread bytes of another request
// precede the end of the stream.
func disconnected(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		pollFds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(pollFds, 0)
		closed = pollErr == nil && n > 0
	})
	return closed || err != nil
}
