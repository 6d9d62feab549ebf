package transport

import (
	"context"
	"sync"
	"time"
)

// runningTimeoutTick is the resolution of a runningTimeout.
const runningTimeoutTick = 10 * time.Millisecond

// runningTimeout ends a context after some time in which the process ran. Each tick counts as runningTimeoutTick, however
// late it comes: after a pause of the process a connection may be open that nobody has looked at yet.
type runningTimeout struct {
	cancel context.CancelFunc

	mu    sync.Mutex
	left  time.Duration
	timer *time.Timer
}

// withRunningTimeout returns a context that ends after a running time. The returned function must be called to release it.
func withRunningTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	timeoutCtx, cancel := context.WithCancel(ctx)
	t := &runningTimeout{cancel: cancel, left: timeout}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(min(t.left, runningTimeoutTick), t.tick)
	return timeoutCtx, t.stop
}

func (t *runningTimeout) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left -= runningTimeoutTick
	if t.left <= 0 {
		t.cancel()
		return
	}
	t.timer.Reset(min(t.left, runningTimeoutTick))
}

func (t *runningTimeout) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A tick that waits for the lock finds no time left and ends the timer.
	t.left = 0
	t.timer.Stop()
	t.cancel()
}
