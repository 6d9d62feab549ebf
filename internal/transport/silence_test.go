package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/standin/relay"
	"github.com/basillink/basillink/internal/testwait"
)

// slowHandler answers /slow after the delay and everything else at once.
func slowHandler(delay time.Duration) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "/slow" {
			time.Sleep(delay)
		}
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	}
}

// relayedPool returns a target pool that connects through a relay and has two idle connections, one of them the spare.
func relayedPool(t *testing.T, target *rawtarget.Target, maxConns int) (*Pool, *relay.Relay) {
	link, err := relay.New(target.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	pool := NewTargetPool(link.Address(), maxConns)
	t.Cleanup(pool.Close)
	if _, err := send(pool, newRequest("GET", link.Address(), "/", "")); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "a spare connection", func() bool { return pool.idleCount() == 2 && link.Accepted() == 2 })
	return pool, link
}

// openIdleConnections opens connections by sending requests to /slow at the same time. It returns when they are idle.
func openIdleConnections(t *testing.T, pool *Pool, link *relay.Relay, requests int) {
	var sent sync.WaitGroup
	for range requests {
		sent.Go(func() { _, _ = send(pool, newRequest("GET", link.Address(), "/slow", "")) })
	}
	sent.Wait()
	testwait.Until(t, "all connections at the relay", func() bool { return link.Accepted() == pool.openCount() })
}

func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Guards against requests that hang until their deadline of 10 s on a connection that went silent. The request must fail
// earlier, as sent, and the next ones must use a working connection.
func TestSilentConnectionIsDetected(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool, link := relayedPool(t, target, 8)
	link.Freeze()
	_, err := send(pool, newRequest("POST", link.Address(), "/", "x"))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Reason != reason.ConnectionSilent || !failure.Sent {
		t.Fatalf("got %v, want connection_silent after sending", err)
	}
	for range 5 {
		if body, err := send(pool, newRequest("GET", link.Address(), "/", "")); err != nil || body != "ok" {
			t.Errorf("after the silence was detected: %q, %v", body, err)
		}
	}
	if got := target.Requests.Load(); got != 6 {
		t.Errorf("the target read %d requests, want 6", got)
	}
}

// Guards against requests that fail one after the other on the idle connections of a broken path.
func TestIdleConnectionsAreVerified(t *testing.T) {
	target := rawtarget.Start(t, slowHandler(100*time.Millisecond))
	pool, link := relayedPool(t, target, 8)
	openIdleConnections(t, pool, link, 6)
	before := link.Accepted()
	link.Freeze()
	_, _ = send(pool, newRequest("GET", link.Address(), "/", ""))
	for range 20 {
		if _, err := send(pool, newRequest("GET", link.Address(), "/", "")); err != nil {
			t.Errorf("after the silence was detected: %v", err)
		}
	}
	if burst := link.Accepted() - before; burst > openBurst {
		t.Errorf("%d connections were opened after the loss of %d", burst, before)
	}
}

// Guards against silent exchanges that are detected only one after another, so that the last ones reach their deadline.
// Several wait at once, and only one idle connection is left to compare them with.
func TestAllSilentExchangesAreDetected(t *testing.T) {
	target := rawtarget.Start(t, slowHandler(100*time.Millisecond))
	pool, link := relayedPool(t, target, 16)
	openIdleConnections(t, pool, link, 5)
	link.Freeze()
	var sent sync.WaitGroup
	for range pool.idleCount() - 1 {
		sent.Go(func() {
			_, err := send(pool, newRequest("GET", link.Address(), "/", ""))
			var failure *ExchangeError
			if err != nil && (!errors.As(err, &failure) || failure.Reason != reason.ConnectionSilent) {
				t.Errorf("got %v, want connection_silent", err)
			}
		})
	}
	sent.Wait()
}

// Guards against sending a request that must not be retried on a connection that went silent while it was idle.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool, link := relayedPool(t, target, 8)
	link.Freeze()
	time.Sleep(DefaultSilenceTimeout)
	limits := testLimits
	limits.CheckAfterIdle = DefaultSilenceTimeout
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := pool.RoundTrip(ctx, newRequest("POST", link.Address(), "/", "x"), limits, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
	if got := target.Requests.Load(); got != 2 {
		t.Errorf("the target read %d requests, want 2", got)
	}
}

// Guards against aborting requests because they are slow. They take long enough for two checks.
func TestSlowRequestIsNotAborted(t *testing.T) {
	target := rawtarget.Start(t, slowHandler(5*DefaultSilenceTimeout/2))
	pool, link := relayedPool(t, target, 8)
	var slow sync.WaitGroup
	for range 3 {
		slow.Go(func() {
			if body, err := send(pool, newRequest("GET", link.Address(), "/slow", "")); err != nil || body != "ok" {
				t.Errorf("slow request: %q, %v", body, err)
			}
		})
	}
	slow.Wait()
	if got := target.Requests.Load(); got != 4 {
		t.Errorf("the target read %d requests, want 4", got)
	}
}

// Guards against a TCP state that is taken for a silent peer although the peer acknowledges.
func TestUnacknowledged(t *testing.T) {
	cases := []struct {
		name string
		info unix.TCPInfo
		want bool
	}{
		{"all acknowledged", unix.TCPInfo{Last_ack_recv: 5000}, false},
		{"just sent", unix.TCPInfo{Unacked: 1, Last_ack_recv: 5000}, false},
		{"retransmitted without acknowledgement", unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_ack_recv: 1200}, true},
		{"acknowledged recently", unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_ack_recv: 300}, false},
		{"one probe lost", unix.TCPInfo{Probes: 1, Last_ack_recv: 2000}, false},
		{"two probes lost", unix.TCPInfo{Probes: 2, Last_ack_recv: 3000}, true},
	}
	for _, c := range cases {
		if got := ackOverdue(&c.info, time.Second); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
