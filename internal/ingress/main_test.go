package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/standin/rawtarget"
	"github.com/basillink/basillink/internal/telemetry"
)

var testHeaders = Headers{
	RequestID: "X-Id", DeadlineMS: "X-Deadline", ExpectedInstance: "X-Expected", InstanceID: "X-Instance",
	NotExecuted: "X-Not-Run", Load: "X-Load", Leaving: "X-Leaving",
	Key: "Caller-Key", Workspace: "Caller-Workspace",
}

func TestMain(m *testing.M) {
	telemetry.RedirectServerLogs(slog.New(slog.DiscardHandler))
	m.Run()
}

// fakeCounter counts refusals and retries by the name of their reason, and choices of splits by route and service.
type fakeCounter struct {
	mu      sync.Mutex
	refused map[string]int
	retried map[string]int
	chosen  map[string]int
}

func (c *fakeCounter) Answered(string, string)                     {}
func (c *fakeCounter) Denied(string, int)                          {}
func (c *fakeCounter) Served(string, time.Duration, time.Duration) {}
func (c *fakeCounter) Refused(_ string, refusal *reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[refusal.Name]++
}
func (c *fakeCounter) Retried(_ string, retry *reason.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retried[retry.Name]++
}
func (c *fakeCounter) SplitChosen(route, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chosen[route+" "+service]++
}

// testbed is a gateway in front of raw targets. The idempotent route /safe/ and the other route /once/ lead to all of them.
type testbed struct {
	gateway     *Gateway
	address     string
	counter     *fakeCounter
	view        atomic.Pointer[View]
	misdirected atomic.Int64
	targets     []*rawtarget.Target
}

func newTestbed(t testing.TB, targets ...*rawtarget.Target) *testbed {
	t.Helper()
	return newConfiguredTestbed(t, func(*Config) {}, targets...)
}

// newConfiguredTestbed returns a testbed whose gateway has a changed configuration.
func newConfiguredTestbed(t testing.TB, configure func(*Config), targets ...*rawtarget.Target) *testbed {
	t.Helper()
	b := &testbed{counter: &fakeCounter{refused: map[string]int{}, retried: map[string]int{}, chosen: map[string]int{}}, targets: targets}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	config := Config{
		Address: "127.0.0.1:0", Headers: testHeaders, View: b.view.Load, Counter: b.counter,
		Log: slog.New(slog.DiscardHandler), Now: now,
		ParseLoad: func(value []byte) (dispatch.LoadReport, bool) {
			return dispatch.LoadReport{Slowdown: 1}, len(value) > 0
		},
		OnMisdirected: func(string) { b.misdirected.Add(1) },
	}
	configure(&config)
	b.gateway = New(config)
	b.view.Store(newView(t, now, targets))
	if err := b.gateway.Open(); err != nil {
		t.Fatal(err)
	}
	b.address = b.gateway.listener.BoundAddress()
	go func() { _ = b.gateway.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = b.gateway.Shutdown(ctx)
		b.gateway.CloseUnregistered(func(string) bool { return false })
	})
	return b
}

// checkIdle fails the test if a request still holds anything a short time after the last one was answered: a slot of a target, a
// claim, a place in the queue, a connection or a part of the memory budget.
func (b *testbed) checkIdle(t *testing.T) {
	t.Helper()
	var held heldResources
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if held = b.held(); held == (heldResources{}) {
			return
		}
	}
	t.Errorf("resources that are still held: %+v", held)
}

// heldResources counts what the requests of a gateway hold.
type heldResources struct {
	dispatch.Usage
	requests, memory int64
	connections      int
}

func (b *testbed) held() heldResources {
	held := heldResources{requests: b.gateway.InFlight(), memory: b.gateway.Memory.Used()}
	for _, pool := range b.view.Load().Pools {
		held.Usage = pool.Usage()
	}
	b.gateway.mu.Lock()
	defer b.gateway.mu.Unlock()
	for _, conns := range b.gateway.targetConns {
		held.connections += conns.pool.InUse()
	}
	return held
}

func newView(t testing.TB, now func() time.Duration, targets []*rawtarget.Target) *View {
	t.Helper()
	table := buildTable(t, newRoutesConfig("s"))
	pool := dispatch.NewPool(dispatch.DefaultPolicy(), "a", now, rand.New(rand.NewPCG(1, 2)))
	var registered []registry.Target
	for i, target := range targets {
		registered = append(registered, registry.Target{Entry: registry.Entry{
			ID: fmt.Sprintf("t%d", i), Address: target.Address(), Zone: "a", Service: "s", Slots: 4,
		}})
	}
	pool.SetTargets(registered, 1, time.Now())
	return &View{Table: table, Pools: map[string]*dispatch.Pool{"s": pool}, Instances: 1}
}

// buildTable returns the table of a configuration.
func buildTable(t testing.TB, config *routes.Config) *routes.Table {
	t.Helper()
	table, err := routes.Build(config, nil, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// setConfig puts a configuration into force.
func (b *testbed) setConfig(t testing.TB, config *routes.Config) {
	t.Helper()
	view := *b.view.Load()
	view.Table = buildTable(t, config)
	b.view.Store(&view)
}

// newRoutesConfig returns a configuration whose routes lead to a service.
func newRoutesConfig(service string) *routes.Config {
	route := func(name string, idempotent bool) routes.Route {
		return routes.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Idempotent: idempotent, Timeout: 900 * time.Millisecond,
			LatencyObjective: 400 * time.Millisecond, MaxAttempts: 2, Split: []routes.Share{{Service: service, Weight: 1}},
		}
	}
	return &routes.Config{
		Version: 1, Services: []routes.Service{{Name: service, MaxConnections: 100}},
		Routes: []routes.Route{route("safe", true), route("once", false)},
	}
}

// callerConn is a connection of a caller to the gateway.
type callerConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (b *testbed) dial(t *testing.T) *callerConn {
	t.Helper()
	return b.dialFrom(t, "127.0.0.1")
}

// dialFrom opens a connection from a loopback address.
func (b *testbed) dialFrom(t *testing.T, address string) *callerConn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	conn, err := dialer.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &callerConn{t, conn, bufio.NewReader(conn)}
}

func (c *callerConn) send(method, path, id, body string) {
	c.t.Helper()
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: 2000\r\n", method, path, id)
	if body != "" {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, request+"\r\n"+body); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads an answer. It returns an error if the body is truncated.
func (c *callerConn) receive() (response, string, error) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, answer.Close}, string(body), err
}

// receiveFor sends a request without a body and reads the answer.
func (c *callerConn) receiveFor(method, path, id string) (response, string, error) {
	c.t.Helper()
	c.send(method, path, id, "")
	return c.receive()
}

// response is the head of a complete answer.
type response struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// exchange sends a request and reads the answer. It fails the test if there is no complete one.
func (c *callerConn) exchange(method, path, id, body string) (response, string) {
	c.t.Helper()
	c.send(method, path, id, body)
	answer, got, err := c.receive()
	if err != nil {
		c.t.Fatal(err)
	}
	return answer, got
}

// rawAnswer returns an HTTP/1.1 answer that echoes the id of the request. The argument extra holds further header lines.
func rawAnswer(status int, request *http.Request, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, request.Header.Get("X-Id"), extra, len(body), body)
}

// startScripted starts a target that answers each request with the bytes that f returns, and then closes the connection unless
// keep is true.
func startScripted(t *testing.T, f func(r *http.Request, n int64) (raw string, keep bool)) *rawtarget.Target {
	return rawtarget.Start(t, func(conn net.Conn, r *http.Request, n int64) bool {
		raw, keep := f(r, n)
		_, err := io.WriteString(conn, raw)
		return err == nil && keep
	})
}

// startEcho starts a target that answers with the given text, followed by the body of the request in upper case.
func startEcho(t *testing.T, prefix string) *rawtarget.Target {
	return startScripted(t, func(r *http.Request, _ int64) (string, bool) {
		return rawAnswer(200, r, "X-Sig: s\r\nX-Load: 1,0,4\r\n", prefix+strings.ToUpper(r.Header.Get(rawtarget.BodyHeader))), true
	})
}

// registeredAt returns the registry's list for one target at an address.
func registeredAt(address string) []registry.Target {
	return []registry.Target{{Entry: registry.Entry{ID: "t0", Address: address, Zone: "a", Service: "s", Slots: 4}}}
}
