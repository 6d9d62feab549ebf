package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/testprocess"
	"github.com/basillink/basillink/internal/testwait"
)

// newSlowTestbed starts a gateway with one target that takes serviceTime for a request and accepts any number of them at a time.
func newSlowTestbed(t *testing.T, serviceTime time.Duration) *testbed {
	t.Helper()
	target := rawtarget.Start(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		time.Sleep(serviceTime)
		_, err := io.WriteString(conn, rawAnswer(200, r, "", "whole"))
		return err == nil
	})
	b := newTestbed(t, target)
	manySlots := registry.Target{Entry: registry.Entry{ID: "t0", Address: target.Address(), Zone: "a", Service: "s", Slots: 200}}
	b.view.Load().Pools["s"].SetTargets([]registry.Target{manySlots}, 1, time.Now())
	return b
}

// checkConcurrentRequests sends one request for each caller at the same time, calls during, and fails the test unless all are
// answered by the target.
func (b *testbed) checkConcurrentRequests(t *testing.T, callers int, during func()) {
	t.Helper()
	conns := make([]*callerConn, callers)
	for i := range conns {
		conns[i] = b.dial(t)
	}
	var sent sync.WaitGroup
	for i, c := range conns {
		sent.Go(func() {
			c.send("POST", "/once/", fmt.Sprintf("id%d", i), "x")
			if got, body, err := c.receive(); got.StatusCode != http.StatusOK || body != "whole" || err != nil {
				t.Errorf("request %d: %d %q, error %v", i, got.StatusCode, body, err)
			}
		})
	}
	during()
	sent.Wait()
	b.checkIdle(t)
}

// Guards against refusing requests because connections to the only target are opened one after another: the last of them waits
// longer than connectTimeout for its turn.
func TestRequestsWaitForConnections(t *testing.T) {
	b := newSlowTestbed(t, connectTimeout)
	b.checkConcurrentRequests(t, 90, func() {})
	b.counter.mu.Lock()
	defer b.counter.mu.Unlock()
	if b.counter.retried[reason.RetryConnectionsBusy.Name] == 0 {
		t.Errorf("no wait for a connection was counted: %v", b.counter.retried)
	}
}

// Guards against taking a pause of the own process for a target that accepts no connections.
func TestPauseDoesNotFailConnects(t *testing.T) {
	b := newSlowTestbed(t, 30*time.Millisecond)
	b.checkConcurrentRequests(t, 60, func() {
		testwait.Until(t, "connections", func() bool { return b.held().connections > 0 })
		testprocess.PauseSelf(t, 2*connectTimeout)
	})
}
