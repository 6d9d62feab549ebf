package prober

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/standin"
)

// countingTarget counts its open connections, and its probes under way.
type countingTarget struct {
	open, probes, probesAtOnce atomic.Int64
	release                    chan struct{}
}

func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/load" {
		<-c.release
		return
	}
	c.probes.Add(1)
	now := c.probesAtOnce.Add(1)
	defer c.probesAtOnce.Add(-1)
	select {
	case <-time.After(5 * time.Millisecond):
	case <-r.Context().Done(): // the prober gave up and may have opened another connection
	}
	_, _ = fmt.Fprintf(w, `{"in_flight":%d}`, now)
}

func (c *countingTarget) start(t *testing.T) string {
	server := httptest.NewUnstartedServer(c)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			c.open.Add(1)
		case http.StateClosed:
			c.open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// configured returns a service as the control part of an instance builds it.
func configured(t *testing.T, address string, connections, instances int) *control.Service {
	builder, _ := balancer.Find(balancer.NameCombined)
	loop := control.New("a", builder, slog.New(slog.DiscardHandler))
	log := standin.NewLog()
	spec := fmt.Sprintf(`
[[service]]
name = "flightdesk"
region = "tz-north"
zones = ["a"]
connections_per_target = %d
max_instances = %d
[service.measuring]
probes_per_s = 1000
bytes_per_s = 1000000
probes_per_request = 1
[[service.class]]
name = "lookup"
[[service.target]]
address = %q
zone = "a"
`, connections, instances, address)
	record := &intent.Record{Kind: intent.KindChange, Change: &intent.Change{ID: "1", Service: "flightdesk", Spec: spec}}
	payload, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), payload); err != nil {
		t.Fatal(err)
	}
	reader := &control.Reader{Log: log, Loop: loop, Random: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.DiscardHandler)}
	go loop.Run(t.Context())
	go reader.Run(t.Context())
	<-loop.Configured()
	return loop.Snapshot().Services["flightdesk"]
}

// instance fills the pool to a target with requests and probes the target beside them.
func instance(ctx context.Context, service *control.Service, connections int) {
	var clock atomic.Int64
	p := New(func() time.Duration { return time.Duration(clock.Load()) })
	clock.Store(int64(11 * time.Second))
	var group sync.WaitGroup
	group.Go(func() { p.Run(ctx) })
	for range connections {
		group.Go(func() {
			var request protocol.Request
			var response protocol.Response
			request.SetRequestURI("http://" + service.Targets[0].Address + "/slow")
			_ = service.Targets[0].Pool.Exchange(ctx, &request, &response, 1000)
		})
	}
	for ctx.Err() == nil {
		p.Requested(service)
		time.Sleep(time.Millisecond)
	}
	group.Wait()
}

// Guards against a target whose limit of connections is exceeded by the prober's connections: max_instances instances
// that fill their pools and probe stay within the limit and use their share of it, and never probe on two connections
// at once.
func TestConnectionsOfATargetStayWithinItsLimit(t *testing.T) {
	const instances = 4
	for _, share := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("share %d", share), func(t *testing.T) {
			limit := share * instances
			target := &countingTarget{release: make(chan struct{})}
			address := target.start(t)
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for range instances {
				service := configured(t, address, limit, instances)
				group.Go(func() { instance(ctx, service, limit) })
			}
			most := int64(0)
			for i := 0; i < 500 || i < 10_000 && target.open.Load() < int64(limit); i++ {
				time.Sleep(time.Millisecond)
				most = max(most, target.probesAtOnce.Load())
			}
			if open := target.open.Load(); open != int64(limit) {
				t.Errorf("%d open connections, limit %d", open, limit)
			}
			if probes := target.probes.Load(); (probes > 0) != (share > 1) || most > instances {
				t.Errorf("%d probes, %d at once", probes, most)
			}
			close(target.release)
			cancel()
			group.Wait()
		})
	}
}
