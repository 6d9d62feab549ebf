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

// slowPath answers /slow after the given time and everything else at once.
func slowPath(duration time.Duration) func(net.Conn, *http.Request, int64) bool {
	return func(conn net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "/slow" {
			time.Sleep(duration)
		}
		_, err := io.WriteString(conn, okAnswer)
		return err == nil
	}
}

// silentPool returns a target pool behind a relay, with an idle connection besides the one in use.
func silentPool(t *testing.T, target *rawtarget.Target, limit int) (*Pool, *relay.Relay) {
	path, err := relay.New(target.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	pool := NewTargetPool(path.Address(), limit)
	t.Cleanup(pool.Close)
	if _, err := send(pool, newRequest("GET", path.Address(), "/", "")); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "a spare connection", func() bool { return pool.idleCount() == 2 && path.Accepted() == 2 })
	return pool, path
}

// openConnections leaves idle connections of a number of slow requests that ran at the same time.
func openConnections(t *testing.T, pool *Pool, path *relay.Relay, requests int) {
	var sent sync.WaitGroup
	for range requests {
		sent.Go(func() { _, _ = send(pool, newRequest("GET", path.Address(), "/slow", "")) })
	}
	sent.Wait()
	testwait.Until(t, "all connections at the relay", func() bool { return path.Accepted() == pool.openCount() })
}

func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Guards against requests that hang until their deadline on connections that went silent: the exchange ends long
// before its 10 s, as sent, and the next one uses a connection that works.
func TestSilentConnectionIsFound(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool, path := silentPool(t, target, 8)
	path.Freeze()
	_, err := send(pool, newRequest("POST", path.Address(), "/", "x"))
	var failure *ExchangeError
	if !errors.As(err, &failure) || failure.Reason != reason.ConnectionSilent || !failure.Sent {
		t.Fatalf("got %v, want connection_silent after sending", err)
	}
	for range 5 {
		if body, err := send(pool, newRequest("GET", path.Address(), "/", "")); err != nil || body != "ok" {
			t.Errorf("after the finding: %q, %v", body, err)
		}
	}
	if got := target.Requests.Load(); got != 6 {
		t.Errorf("the target read %d requests, want 6", got)
	}
}

// Guards against idle connections of a broken path that keep failing requests one after the other.
func TestIdleConnectionsAreVerified(t *testing.T) {
	target := rawtarget.Start(t, slowPath(100*time.Millisecond))
	pool, path := silentPool(t, target, 8)
	openConnections(t, pool, path, 6)
	before := path.Accepted()
	path.Freeze()
	_, _ = send(pool, newRequest("GET", path.Address(), "/", ""))
	for range 20 {
		if _, err := send(pool, newRequest("GET", path.Address(), "/", "")); err != nil {
			t.Errorf("after the finding: %v", err)
		}
	}
	if burst := path.Accepted() - before; burst > openBurst {
		t.Errorf("%d connections were opened after the loss of %d", burst, before)
	}
}

// Guards against silent exchanges that are found one by one: several wait at once, and there is one idle connection to
// compare with.
func TestAllSilentExchangesAreFound(t *testing.T) {
	target := rawtarget.Start(t, slowPath(100*time.Millisecond))
	pool, path := silentPool(t, target, 16)
	openConnections(t, pool, path, 5)
	path.Freeze()
	var sent sync.WaitGroup
	for range pool.idleCount() - 1 {
		sent.Go(func() {
			_, err := send(pool, newRequest("GET", path.Address(), "/", ""))
			var failure *ExchangeError
			if err != nil && (!errors.As(err, &failure) || failure.Reason != reason.ConnectionSilent) {
				t.Errorf("got %v, want connection_silent", err)
			}
		})
	}
	sent.Wait()
}

// Guards against a request that may not be repeated on a connection that went silent while it was idle.
func TestVerifiedConnection(t *testing.T) {
	target := rawtarget.Start(t, rawtarget.Always(okAnswer))
	pool, path := silentPool(t, target, 8)
	path.Freeze()
	time.Sleep(DefaultSilenceTimeout)
	limits := testLimits
	limits.CheckAfterIdle = DefaultSilenceTimeout
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := pool.RoundTrip(ctx, newRequest("POST", path.Address(), "/", "x"), limits, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
	if got := target.Requests.Load(); got != 2 {
		t.Errorf("the target read %d requests, want 2", got)
	}
}

// Guards against cutting a request merely because it is slow. The time is longer than two checks.
func TestSlowRequestIsNotCut(t *testing.T) {
	target := rawtarget.Start(t, slowPath(5*DefaultSilenceTimeout/2))
	pool, path := silentPool(t, target, 8)
	var slow sync.WaitGroup
	for range 3 {
		slow.Go(func() {
			if body, err := send(pool, newRequest("GET", path.Address(), "/slow", "")); err != nil || body != "ok" {
				t.Errorf("slow request: %q, %v", body, err)
			}
		})
	}
	slow.Wait()
	if got := target.Requests.Load(); got != 4 {
		t.Errorf("the target read %d requests, want 4", got)
	}
}

// Guards against a kernel state that is read as silence although the peer acknowledges.
func TestUnacknowledged(t *testing.T) {
	cases := []struct {
		name string
		info unix.TCPInfo
		want bool
	}{
		{"all acknowledged", unix.TCPInfo{Last_ack_recv: 5000}, false},
		{"just sent", unix.TCPInfo{Unacked: 1, Last_ack_recv: 5000}, false},
		{"sent again without effect", unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_ack_recv: 1200}, true},
		{"acknowledged lately", unix.TCPInfo{Unacked: 1, Retransmits: 2, Last_ack_recv: 300}, false},
		{"one probe lost", unix.TCPInfo{Probes: 1, Last_ack_recv: 2000}, false},
		{"two probes lost", unix.TCPInfo{Probes: 2, Last_ack_recv: 3000}, true},
	}
	for _, c := range cases {
		if got := unacknowledged(&c.info, time.Second); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
