package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/internal/transport"
	"github.com/basillink/basillink/operator"
)

func TestMain(m *testing.M) {
	telemetry.RedirectServerLogs(slog.New(slog.DiscardHandler))
	// The HTTP library updates the current date in a goroutine that never terminates.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"))
}

// fakeCounter is a Counter that counts by label.
type fakeCounter struct {
	mu       sync.Mutex
	answered int
	refused  map[string]int
	retried  map[string]int
	services map[string]bool
}

func (c *fakeCounter) Answered(service, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.services[service] = true
}

func (c *fakeCounter) Refused(service string, r *reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[r.Name]++
	c.services[service] = true
}

func (c *fakeCounter) Retried(_ string, r *reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retried[r.Name]++
}

func (c *fakeCounter) AddedLatency(time.Duration) {}

func (c *fakeCounter) refusals(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[name]
}

// fixture is a gateway with one service, "desk".
type fixture struct {
	address string
	counts  *fakeCounter
	gateway *Gateway
	service *control.Service
}

// testClasses are the request classes of the service. The method selects the class.
var testClasses = []operator.Class{
	{Name: "lookup", Methods: []string{"GET", "HEAD"}, Repeatable: true, TimeoutMS: 10_000},
	{Name: "summary", Methods: []string{"OPTIONS"}, Repeatable: true, Long: true, TimeoutMS: 60_000},
	{Name: "other", Repeatable: true, TimeoutMS: 10_000},
}

const testConnections = 64

func newFixture(t testing.TB, addresses ...string) *fixture {
	t.Helper()
	s := &settings.Settings{Instance: settings.Instance{ID: "i1"}, Listen: settings.Listen{Caller: "127.0.0.1:0"}}
	s.SetDefaults()
	c := &fakeCounter{refused: map[string]int{}, retried: map[string]int{}, services: map[string]bool{}}
	service := newService(t, addresses)
	snapshot := &control.Snapshot{Services: map[string]*control.Service{"desk": service}}
	g := New(s, func() *control.Snapshot { return snapshot }, c, slog.New(slog.DiscardHandler))
	if err := g.Open(); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = g.Run() })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := g.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		running.Wait()
	})
	return &fixture{address: g.Address(), counts: c, gateway: g, service: service}
}

func newService(t testing.TB, addresses []string) *control.Service {
	service := &control.Service{
		Spec:          operator.Service{Name: "desk", Classes: testClasses},
		AllRepeatable: true,
		Admission:     admission.NewLimiter(admission.Config{MaxInFlight: 4096, MinInFlight: 4096, MaxWaiting: 256, MaxWait: time.Second}),
		Retries:       admission.NewRetryBudget(),
	}
	config := balancer.Config{Service: "desk"}
	for _, address := range addresses {
		pool := transport.NewTargetPool(address, testConnections)
		t.Cleanup(pool.Close)
		service.Targets = append(service.Targets, &control.Target{Address: address, Pool: pool})
		config.Targets = append(config.Targets, balancer.Target{Address: address, Slots: 8})
	}
	service.Policy = balancer.TwoChoices{}.Build(config, nil)
	return service
}

// newClient returns a client without keep-alive unless reuse is set. Each request then uses a new connection, which
// net/http does not retry.
func newClient(t testing.TB, reuse bool) *http.Client {
	transport := &http.Transport{DisableKeepAlives: !reuse, MaxIdleConnsPerHost: testConnections}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 30 * time.Second}
}
