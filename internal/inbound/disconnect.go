package inbound

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DisconnectPollInterval is how often the connection of a waiting caller is looked at by default. A caller that leaves is
// noticed within the stated 100 ms, and a request that is shorter than the interval costs no system call.
const DisconnectPollInterval = 40 * time.Millisecond

// departure cancels a request when its caller closes the connection, or its sending half.
type departure struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
	every  time.Duration

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// WatchDisconnect returns a context that ends when the caller leaves. It looks at the connection at intervals. The returned
// function ends the watch.
func WatchDisconnect(ctx context.Context, every time.Duration) (context.Context, func()) {
	socket, ok := ctx.Value(socketKey{}).(syscall.Conn)
	ctx, cancel := context.WithCancel(ctx)
	if !ok {
		return ctx, cancel
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	d := &departure{raw: raw, cancel: cancel, every: every}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(every, d.look)
	return ctx, d.stop
}

// CallerDisconnected looks at the caller's connection now.
func CallerDisconnected(ctx context.Context) bool {
	socket, ok := ctx.Value(socketKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	return err != nil || callerLeft(raw)
}

func (d *departure) look() {
	if callerLeft(d.raw) {
		d.cancel()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(d.every)
	}
}

func (d *departure) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	d.cancel()
}

// callerLeft reports whether the peer closed the connection. Bytes of a further request do not hide it.
func callerLeft(raw syscall.RawConn) bool {
	left := false
	err := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(polled, 0)
		left = pollErr == nil && n > 0
	})
	return left || err != nil
}
