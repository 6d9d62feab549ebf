package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// blocking answers after proceed is closed.
func blocking(proceed chan struct{}) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		<-proceed
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	}
}

func (p *Pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiters.Len()
}

func (p *Pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Guards against refusing or overtaking requests while all connections are in use.
func TestWaitersAreServedInOrder(t *testing.T) {
	proceed := make(chan struct{})
	var order []string
	var mu sync.Mutex
	target := newWireTarget(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		mu.Lock()
		order = append(order, r.URL.Path)
		mu.Unlock()
		return blocking(proceed)(conn, r, 0)
	})
	pool := testPool(t, target.address(), 1)
	var sent sync.WaitGroup
	for i, path := range []string{"/a", "/b", "/c", "/d"} {
		sent.Go(func() {
			if _, err := send(pool, newRequest("GET", target.address(), path, "")); err != nil {
				t.Error(err)
			}
		})
		eventually(t, "the request in line", func() bool { return target.requests.Load() == 1 && pool.waiting() == i })
	}
	close(proceed)
	sent.Wait()
	mu.Lock()
	defer mu.Unlock()
	if got := len(order); got != 4 || order[0] != "/a" || order[1] != "/b" || order[2] != "/c" || order[3] != "/d" {
		t.Errorf("order %v", order)
	}
	if got := target.accepted.Load(); got != 1 {
		t.Errorf("%d connections with a limit of 1", got)
	}
}

// Guards against a wait without end, and against an outcome that leaves open whether the request ran.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	proceed := make(chan struct{})
	target := newWireTarget(t, blocking(proceed))
	defer close(proceed)
	pool := testPool(t, target.address(), 1)
	go func() { _, _ = send(pool, newRequest("GET", target.address(), "/", "")) }()
	eventually(t, "the first request", func() bool { return target.requests.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := sendWith(ctx, pool, newRequest("GET", target.address(), "/", ""))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Reason != reason.ConnectionsBusy || failure.Sent {
		t.Errorf("got %v, want connections_busy without sending", err)
	}
}

// Guards against a connection that leaks when its exchange ends after the pool was closed, and against waiters that
// are forgotten.
func TestCloseWithExchangesInFlight(t *testing.T) {
	proceed := make(chan struct{})
	target := newWireTarget(t, blocking(proceed))
	pool := NewPool(target.address(), 1)
	results := make(chan error, 2)
	start := func() {
		_, err := send(pool, newRequest("GET", target.address(), "/", ""))
		results <- err
	}
	go start()
	eventually(t, "the first request", func() bool { return target.requests.Load() == 1 })
	go start()
	eventually(t, "a waiter", func() bool { return pool.waiting() == 1 })
	pool.Close()
	var closed *ClosedError
	if err := <-results; !errors.As(err, &closed) {
		t.Errorf("the waiter got %v", err)
	}
	close(proceed)
	if err := <-results; err != nil {
		t.Errorf("the exchange in flight got %v", err)
	}
	if got := pool.openCount(); got != 0 {
		t.Errorf("%d connections are open after the end", got)
	}
}

// Guards against a connection lost to a waiter that gives up while it receives one.
func TestAbandonedGrantIsPassedOn(t *testing.T) {
	target := newWireTarget(t, always(okAnswer))
	pool := testPool(t, target.address(), 1)
	var sent sync.WaitGroup
	for i := range 200 {
		sent.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%20+1)*time.Millisecond)
			defer cancel()
			_, _ = sendWith(ctx, pool, newRequest("GET", target.address(), "/", ""))
		})
	}
	sent.Wait()
	if _, err := send(pool, newRequest("GET", target.address(), "/", "")); err != nil {
		t.Error(err)
	}
	if got := pool.openCount(); got != 1 {
		t.Errorf("%d connections are counted, want 1", got)
	}
}

// Guards against idle connections that stay open while no request comes.
func TestIdleConnectionsAgeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool("192.0.2.1:1", 2)
		defer pool.Close()
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		pool.open = 1
		pool.release(newConn(near))
		time.Sleep(idleLimit - time.Second)
		if pool.idleCount() != 1 {
			t.Error("the connection was closed early")
		}
		time.Sleep(idleLimit)
		if pool.idleCount() != 0 || pool.openCount() != 0 {
			t.Error("the connection did not age out")
		}
	})
}

// Guards against a burst of new connections.
func TestRateOfNewConnections(t *testing.T) {
	start := time.Now()
	b := bucket{tokens: openBurst, last: start}
	taken := 0
	for ms := range 1000 {
		for b.take(start.Add(time.Duration(ms) * time.Millisecond)) {
			taken++
		}
	}
	if highest := openBurst + int(time.Second/openInterval); taken > highest || taken < highest-1 {
		t.Errorf("%d connections in a second, want %d", taken, highest)
	}
}
