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

	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/testprocess"
	"github.com/basillink/basillink/internal/testwait"
)

// blockUntil answers once proceed is closed.
func blockUntil(proceed chan struct{}) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, _ *http.Request, _ int64) bool {
		<-proceed
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	}
}

func (p *Pool) waiterCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiters.Len()
}

func (p *Pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.numOpen
}

// Guards against refusing or reordering requests while all connections are in use.
func TestWaitersAreServedInOrder(t *testing.T) {
	proceed := make(chan struct{})
	var paths []string
	var mu sync.Mutex
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		return blockUntil(proceed)(conn, r, 0)
	})
	pool := testPool(t, target.Address(), 1)
	var sent sync.WaitGroup
	for i, path := range []string{"/a", "/b", "/c", "/d"} {
		sent.Go(func() {
			if _, err := send(pool, newRequest("GET", target.Address(), path, "")); err != nil {
				t.Error(err)
			}
		})
		testwait.Until(t, "the request to be sent or wait", func() bool { return target.Requests.Load() == 1 && pool.waiterCount() == i })
	}
	close(proceed)
	sent.Wait()
	mu.Lock()
	defer mu.Unlock()
	if got := len(paths); got != 4 || paths[0] != "/a" || paths[1] != "/b" || paths[2] != "/c" || paths[3] != "/d" {
		t.Errorf("got requests in the order %v", paths)
	}
	if got := target.Accepted.Load(); got != 1 {
		t.Errorf("%d connections with a limit of 1", got)
	}
}

// Guards against waiting for a connection past the deadline, and against reporting such a request as possibly sent.
func TestWaitEndsAtDeadline(t *testing.T) {
	proceed := make(chan struct{})
	target := rawtarget.Start(t, blockUntil(proceed))
	defer close(proceed)
	pool := testPool(t, target.Address(), 1)
	go func() { _, _ = send(pool, newRequest("GET", target.Address(), "/", "")) }()
	testwait.Until(t, "the first request", func() bool { return target.Requests.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := sendWith(ctx, pool, newRequest("GET", target.Address(), "/", ""))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Reason != reason.ConnectionsBusy || failure.Sent {
		t.Errorf("got %v, want connections_busy without sending", err)
	}
}

// Guards against taking the wait for a connection of the own pool for a target that accepts none.
func TestWaitForPoolIsNotAConnectFailure(t *testing.T) {
	proceed := make(chan struct{})
	target := rawtarget.Start(t, blockUntil(proceed))
	defer close(proceed)
	pool := testPool(t, target.Address(), 1)
	go func() { _, _ = send(pool, newRequest("GET", target.Address(), "/", "")) }()
	testwait.Until(t, "the first request", func() bool { return target.Requests.Load() == 1 })
	_, err := pool.RoundTrip(t.Context(), newRequest("GET", target.Address(), "/", ""), Limits{ConnectTimeout: 20 * time.Millisecond}, nil)
	var failure *ExchangeError
	var timeout *ConnectTimeoutError
	if !errors.As(err, &failure) || failure.Reason != reason.ConnectionsBusy || !errors.As(err, &timeout) || !timeout.Waited {
		t.Errorf("got %v, want connections_busy", err)
	}
}

// Guards against a connect timeout that passes while the process is paused, before it could look at the new connection.
func TestPauseDoesNotExpireConnectTimeout(t *testing.T) {
	const timeout = 150 * time.Millisecond
	ctx, cancel := withRunningTimeout(t.Context(), timeout)
	defer cancel()
	begin := time.Now()
	testprocess.PauseSelf(t, 2*timeout)
	if err, paused := ctx.Err(), time.Since(begin); err != nil || paused < 2*timeout {
		t.Errorf("after a pause of %s: %v", paused, err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(20 * timeout):
		t.Error("the timeout does not expire")
	}
}

// Guards against a connection leak when an exchange ends after the pool was closed, and against waiters that Close does
// not wake.
func TestCloseWithExchangesInFlight(t *testing.T) {
	proceed := make(chan struct{})
	target := rawtarget.Start(t, blockUntil(proceed))
	pool := NewPool(target.Address(), 1)
	results := make(chan error, 2)
	start := func() {
		_, err := send(pool, newRequest("GET", target.Address(), "/", ""))
		results <- err
	}
	go start()
	testwait.Until(t, "the first request", func() bool { return target.Requests.Load() == 1 })
	go start()
	testwait.Until(t, "a waiter", func() bool { return pool.waiterCount() == 1 })
	pool.Close()
	var closed *PoolClosedError
	if err := <-results; !errors.As(err, &closed) {
		t.Errorf("the waiter got %v", err)
	}
	close(proceed)
	if err := <-results; err != nil {
		t.Errorf("the exchange in flight got %v", err)
	}
	if got := pool.openCount(); got != 0 {
		t.Errorf("%d connections are open after the last exchange", got)
	}
}

// Guards against losing a connection when a waiter times out at the moment that it receives one.
func TestCancelledWaitReturnsConnection(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool := testPool(t, target.Address(), 1)
	var sent sync.WaitGroup
	for i := range 200 {
		sent.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%20+1)*time.Millisecond)
			defer cancel()
			_, _ = sendWith(ctx, pool, newRequest("GET", target.Address(), "/", ""))
		})
	}
	sent.Wait()
	if _, err := send(pool, newRequest("GET", target.Address(), "/", "")); err != nil {
		t.Error(err)
	}
	if got := pool.openCount(); got != 1 {
		t.Errorf("%d connections are counted, want 1", got)
	}
}

// Guards against reuse of a connection that may carry a late answer or has not answered a check, and against a connection
// that is not counted or counted twice. The chart refuses the event with a typed error, and the pool closes the connection.
func TestUnusableConnectionsAreClosed(t *testing.T) {
	release := func(p *Pool, conn *Conn) { p.release(conn) }
	makeIdle := func(p *Pool, conn *Conn) { p.idle = append(p.idle, conn) }
	cases := []struct {
		name   string
		events []chart.EventID
		use    func(*Pool, *Conn)
		// refused is the number of events that the chart refuses.
		refused uint64
	}{
		{"released in an exchange", []chart.EventID{eventBegin}, release, 1},
		{"released after an abort", []chart.EventID{eventBegin, eventAbort}, release, 1},
		{"released after silence", []chart.EventID{eventBegin, eventQuiet, eventSilent}, release, 1},
		{"released without a check", []chart.EventID{eventDistrust}, release, 1},
		{"released after a failed check", []chart.EventID{eventCheck, eventAbort}, release, 1},
		{"used after an abort", []chart.EventID{eventBegin, eventAbort}, makeIdle, 2},
		{"used without a check", []chart.EventID{eventDistrust}, makeIdle, 2},
		{"discarded twice", []chart.EventID{eventClose}, func(p *Pool, conn *Conn) {
			p.numOpen--
			p.discard(conn)
		}, 1},
		{"cancelled at the end of the answer", nil, func(p *Pool, conn *Conn) {
			answer := newAnswer(p, conn, testLimits)
			_ = answer.begin(t.Context(), eventBegin)
			stopAbort := answer.stopAbort
			answer.stopAbort = func() bool { return !stopAbort() }
			answer.finish()
			answer.Close()
		}, 0},
		{"granted before the pool was closed", nil, func(p *Pool, conn *Conn) {
			ready := make(chan grant, 1)
			ready <- grant{conn: conn}
			p.Close()
			_ = p.cancelWait(nil, ready)
		}, 0},
	}
	for _, c := range cases {
		target := rawtarget.Start(t, rawtarget.Always(okAnswer))
		pool := testPool(t, target.Address(), 1)
		conn, err := net.Dial("tcp", target.Address())
		if err != nil {
			t.Fatal(err)
		}
		used := &Conn{}
		if err := used.attach(conn); err != nil {
			t.Fatal(err)
		}
		pool.numOpen = 1
		for _, event := range c.events {
			if err := used.fire(event); err != nil {
				t.Fatal(err)
			}
		}
		before := chart.RefusedTransitions()
		c.use(pool, used)
		if pool.idleCount() == 1 {
			_, err := send(pool, newRequest("GET", target.Address(), "/", ""))
			var failure *ExchangeError
			var refused *chart.TransitionError
			if !errors.As(err, &failure) || failure.Sent || !errors.As(err, &refused) {
				t.Errorf("%s: got %v, want a refused transition without sending", c.name, err)
			}
		}
		if got := chart.RefusedTransitions() - before; got != c.refused || pool.openCount() != 0 || pool.idleCount() != 0 || target.Requests.Load() != 0 {
			t.Errorf("%s: %d refused events, %d open, %d idle", c.name, got, pool.openCount(), pool.idleCount())
		}
		wantRefusals.Add(c.refused)
	}
}

// Guards against idle connections that are closed too early, or that stay open while no request comes.
func TestIdleConnectionsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool("192.0.2.1:1", 2)
		defer pool.Close()
		local, remote := net.Pipe()
		defer func() { _ = remote.Close() }()
		pool.numOpen = 1
		conn := &Conn{}
		if err := conn.attach(local); err != nil {
			t.Fatal(err)
		}
		pool.release(conn)
		time.Sleep(defaultIdleTimeout - time.Second)
		if pool.idleCount() != 1 {
			t.Error("the connection was closed early")
		}
		time.Sleep(defaultIdleTimeout)
		if pool.idleCount() != 0 || pool.openCount() != 0 {
			t.Error("the idle connection was not closed")
		}
	})
}

// Guards against more new connections a second than the token bucket allows.
func TestRateOfNewConnections(t *testing.T) {
	start := time.Now()
	b := tokenBucket{tokens: openBurst, last: start}
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
