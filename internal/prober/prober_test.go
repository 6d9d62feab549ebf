package prober

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/standin/standintest"
	"github.com/basillink/basillink/operator"
)

// recorder is a policy that probes targets in turn and records the answers.
type recorder struct {
	balancer.Policy
	mu      sync.Mutex
	next    int
	targets int
	results []balancer.ProbeResult
}

func (r *recorder) NextProbe(time.Duration, uint64) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.next % r.targets, true
}

func (r *recorder) Probed(_ int, result balancer.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *recorder) recorded() []balancer.ProbeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// newService returns a service with the given policy, measuring settings and target addresses.
func newService(measuring operator.Measuring, policy balancer.Policy, addresses ...string) *control.Service {
	s := &control.Service{Policy: policy, Revision: 1}
	s.Spec = operator.Service{Name: "flightdesk", MaxInstances: 1, ConnectionsPerTarget: 2, Measuring: measuring}
	for _, address := range addresses {
		s.Targets = append(s.Targets, &control.Target{Address: address})
	}
	return s
}

// runProber starts a prober and checks that it sends no probes in the first window of the process. It then moves the clock
// past that window and records requests until the allowance is used up, and as many again.
func runProber(t *testing.T, s *control.Service, requests int) *Prober {
	t.Helper()
	var clock atomic.Int64
	p := New(func() time.Duration { return time.Duration(clock.Load()) })
	p.budgetFor(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	for range requests {
		p.OnRequest(s)
	}
	waitIdle(p)
	if sent := p.Counts().Sent; sent != 0 {
		t.Errorf("%d probes sent in the first window of the process, want 0", sent)
	}
	clock.Store(int64(11 * time.Second))
	// A probe to a target that is already being probed is dropped, so it takes more requests to use up the allowance.
	allowance := p.budgetFor(s).allowance
	for before := allowance.Refused(); allowance.Refused() == before && requests < 10_000; requests++ {
		p.OnRequest(s)
		waitIdle(p)
	}
	for range requests {
		p.OnRequest(s)
		waitIdle(p)
	}
	cancel()
	<-done
	return p
}

// waitIdle waits until the queue is empty. Workers may still be sending probes.
func waitIdle(p *Prober) {
	for len(p.queue) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against probes beyond the agreed budget (G1 in docs/guarantees.md), counted at the targets, and against load reports
// that do not reach the policy.
func TestProbesStayWithinBudget(t *testing.T) {
	var addresses []string
	var targets []*standin.Target
	for range 3 {
		target := standintest.StartTarget(t, "127.0.0.1:0", 6)
		load := int64(17)
		target.SetFaults(standin.TargetFaults{ReportedLoad: &load})
		targets, addresses = append(targets, target), append(addresses, target.Address())
	}
	policy := &recorder{targets: 3}
	s := newService(operator.Measuring{ProbesPerSecond: 4, BytesPerSecond: 1e6, ProbesPerRequest: 0.5}, policy, addresses...)
	p := runProber(t, s, 200)
	received := 0
	for _, target := range targets {
		received += target.Probes()
	}
	if received != 40 || p.Counts().Sent != 40 {
		t.Errorf("targets received %d probes and %d were sent, want 40 in one window", received, p.Counts().Sent)
	}
	if len(policy.recorded()) != 40 || policy.recorded()[0].InFlight != 17 {
		t.Errorf("the policy received %d reports, want 40 with 17 requests in flight: %+v", len(policy.recorded()), policy.recorded())
	}
}

// Guards against failed probes that are not charged, for example to a target that refuses connections.
func TestFailedProbesAreCharged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	policy := &recorder{targets: 1}
	s := newService(operator.Measuring{ProbesPerSecond: 2, BytesPerSecond: 1e6, ProbesPerRequest: 1}, policy, listener.Addr().String())
	if counts := runProber(t, s, 100).Counts(); counts.Sent != 20 || counts.Failed != 20 {
		t.Errorf("counts are %+v, want 20 sent and 20 failed", counts)
	}
}

// Guards against a target that stays excluded after it has returned. The first check must succeed, even when load probes
// have used up their part of the allowance, when there is an open connection to the previous process of the target, and
// when the allowance was not used before.
func TestFirstCheckFindsReturnedTarget(t *testing.T) {
	var clock atomic.Int64
	p := New(func() time.Duration { return time.Duration(clock.Load()) })
	clock.Store(int64(11 * time.Second))
	target := standintest.StartTarget(t, "127.0.0.1:0", 6)
	address := target.Address()
	s := newService(operator.Measuring{ProbesPerSecond: 2, BytesPerSecond: 1e6}, &recorder{targets: 1}, address)
	s.Spec.Targets = make([]operator.Target, 2)
	for range 100 {
		p.probe(s, 0)
	}
	before, _ := p.pool.conns[address].roundTrip(address)
	_ = target.Close()
	standintest.StartTarget(t, address, 6)
	if status, ok := p.Check(s, address); !ok || status.Incarnation == before.status.Incarnation {
		t.Errorf("the first check after the return got %+v, ok %t; before the return %+v", status, ok, before.status)
	}
}

// Guards against reading a long answer whole, which would exceed the bytes that the probe was charged for.
func TestLongAnswerIsCutOff(t *testing.T) {
	client, server := net.Pipe()
	written := make(chan int, 1)
	go func() {
		buffer := make([]byte, 256)
		_, _ = server.Read(buffer)
		n, _ := server.Write(append([]byte("HTTP/1.1 200 OK\r\nX-Filler: "), make([]byte, 10_000)...))
		written <- n
	}()
	_, err := exchange(client, "127.0.0.1:1")
	_ = client.Close()
	if n := <-written; err == nil || n >= 400 {
		t.Errorf("read %d bytes, error %v; want an error within 400 bytes", n, err)
	}
}

// Guards against a load report that is read from an answer with status 000, which is none.
func TestStatus000IsNoLoadReport(t *testing.T) {
	client, server := net.Pipe()
	go func() {
		_, _ = server.Read(make([]byte, 256))
		_, _ = server.Write([]byte("HTTP/1.1 000 OK\r\nContent-Length: 15\r\n\r\n{\"in_flight\":1}"))
	}()
	if report, err := exchange(client, "127.0.0.1:1"); err == nil {
		t.Errorf("read the load report %+v", report)
	}
	_ = client.Close()
}

// controlService returns a service with one target, built by the control loop of an instance.
func controlService(t *testing.T, address string, connections, instances int) *control.Service {
	s := newService(operator.Measuring{ProbesPerSecond: 1e3, BytesPerSecond: 1e6, ProbesPerRequest: 1}, nil).Spec
	s.Region, s.Zones, s.ConnectionsPerTarget, s.MaxInstances = "r", []string{"z"}, connections, instances
	s.Classes, s.Targets = []operator.Class{{Name: "lookup"}}, []operator.Target{{Address: address, Zone: "z"}}
	in := operator.Intent{Services: []operator.Service{s}}
	in.Provision()
	var spec strings.Builder
	_ = in.Print(&spec)
	record := intent.Record{Kind: intent.KindChange, Change: &intent.Change{ID: "1", Service: s.Name, Spec: spec.String()}}
	payload, _ := record.Encode()
	builder, _ := balancer.Find(balancer.NameCombined)
	loop := control.New("z", builder, slog.New(slog.DiscardHandler))
	go loop.Run(t.Context())
	page := logservice.Page{Records: []logservice.Record{{Offset: 1, Payload: payload}}, Earliest: 1, Next: 2}
	if _, err := loop.Deliver(t.Context(), page); err != nil {
		t.Fatal(err)
	}
	return loop.Snapshot().Services[s.Name]
}

// Guards against exceeding the connection limit of a target because of the prober's connections: max_instances instances
// that fill their connection pools and send probes must use exactly as many connections as the limit permits.
// No probes are sent if each instance may open only one connection to the target.
func TestConnectionLimitIncludesProbes(t *testing.T) {
	const instances = 4
	for _, share := range []int64{1, 2, 3} {
		var open, probes, clock atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/load" {
				<-ctx.Done()
				return
			}
			probes.Add(1)
			time.Sleep(5 * time.Millisecond)
			_, _ = fmt.Fprint(w, `{"in_flight":1}`)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			open.Add(map[http.ConnState]int64{http.StateNew: 1, http.StateClosed: -1}[state])
		}
		server.Start()
		limit := share * instances
		for range instances {
			s := controlService(t, server.Listener.Addr().String(), int(limit), instances)
			defer s.Targets[0].Pool.Close()
			for range limit {
				go func() {
					var request protocol.Request
					request.SetRequestURI(server.URL + "/slow")
					_ = s.Targets[0].Pool.Exchange(ctx, &request, &protocol.Response{}, 1000)
				}()
			}
			p := New(func() time.Duration { return time.Duration(clock.Load()) })
			go p.Run(ctx)
			go func() {
				for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
					p.OnRequest(s)
				}
			}()
		}
		clock.Store(int64(11 * time.Second))
		for i := 0; i < 500 || i < 10_000 && open.Load() < limit; i++ {
			time.Sleep(time.Millisecond)
		}
		if open.Load() != limit || (probes.Load() > 0) != (share > 1) {
			t.Errorf("share %d: %d open connections, want %d; %d probes", share, open.Load(), limit, probes.Load())
		}
		cancel()
		server.Close()
	}
}
