package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/platform/platformtest"
)

const (
	host        = "soak.example"
	slots       = 4
	work        = 25 * time.Millisecond
	perService  = 6
	callerCount = 20
	heartbeat   = time.Second
)

// world is a store, servers, instances and callers.
type world struct {
	t         *testing.T
	store     *platformtest.Store
	runs      *platformtest.Runs
	instances []*instance

	mu       sync.Mutex
	random   *rand.Rand
	targets  []*platformtest.Target
	gone     []*platformtest.Target
	sequence int64
	next     int
	version  uint64

	requests sync.Map
	count    atomic.Int64
	faults   sync.Map
	served   atomic.Int64
	started  time.Time
	crashes  crashLog
}

// fail notes a broken rule once for each kind and detail.
func (w *world) fail(rule, format string, args ...any) {
	w.faults.Store(rule+": "+fmt.Sprintf(format, args...), time.Since(w.started))
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		t: t, store: platformtest.NewStore(), runs: platformtest.NewRuns(), random: rand.New(rand.NewPCG(*seed, 1)),
		started: time.Now(),
	}
	t.Cleanup(w.store.Close)
	w.configure()
	for range perService {
		w.addTarget("s0", "")
		w.addTarget("s1", "")
	}
	directory := t.TempDir()
	for number := range *instances {
		i, err := newInstance(number, fmt.Sprintf("z%d", number%2), w.store.Address(), directory)
		if err != nil {
			t.Fatal(err)
		}
		w.instances = append(w.instances, i)
		t.Cleanup(func() { _ = i.end(syscallKill) })
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// configure publishes the next configuration. The route /which/ leads to service s0 under even versions, else to s1.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, service string, idempotent bool) routes.Route {
		return routes.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: idempotent, Timeout: 1500 * time.Millisecond,
			LatencyObjective: 300 * time.Millisecond, MaxAttempts: 3, Split: []routes.Share{{Service: service, Weight: 1}},
		}
	}
	w.store.PutConfig(&routes.Config{
		Version:  w.version,
		Services: []routes.Service{{Name: "s0", HealthPath: "/health", MaxConnections: 200}, {Name: "s1", HealthPath: "/health", MaxConnections: 200}},
		Routes: []routes.Route{
			route("read", "s0", true), route("book", "s0", false), route("log", "s1", true), route("which", serviceOf(w.version), true),
		},
	})
}

func serviceOf(version uint64) string { return fmt.Sprintf("s%d", version%2) }

// addTarget starts a server and registers it. The address is empty for a new one.
func (w *world) addTarget(service, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	if address == "" {
		address = "127.0.0.1:0"
	}
	id := fmt.Sprintf("t%d", w.next)
	target, err := platformtest.NewTarget(id, service, address, slots, work, w.runs, func() { go w.replaceCrashed(id) })
	if err != nil {
		w.t.Logf("A server could not start: %v", err)
		return
	}
	w.targets = append(w.targets, target)
	w.register(target, false)
}

// register writes the entry of a server. The lock is held.
func (w *world) register(t *platformtest.Target, draining bool) {
	w.sequence++
	var number int
	_, _ = fmt.Sscanf(t.ID, "t%d", &number)
	w.store.PutTarget(&registry.Entry{
		ID: t.ID, Address: t.Address(), Service: t.Service, Zone: fmt.Sprintf("z%d", number/2%2), Slots: slots,
		Draining: draining, Born: w.started.UnixMilli() + int64(number),
	}, w.sequence)
}

// heartbeats writes the entries of all servers until the context ends.
func (w *world) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for _, t := range w.targets {
			w.register(t, false)
		}
		w.mu.Unlock()
		pause(ctx, heartbeat)
	}
}

// request is what a caller sent and got.
type request struct {
	id, path   string
	idempotent bool
	status     int
}

// send sends one request and checks its answer. It returns the service that answered with success.
func (w *world) send(ctx context.Context, client *http.Client, i *instance, path string, idempotent bool) string {
	return w.sendAs(ctx, client, i, fmt.Sprintf("r%d", w.count.Add(1)), path, idempotent)
}

// sendAs sends one request under an id.
func (w *world) sendAs(ctx context.Context, client *http.Client, i *instance, id, path string, idempotent bool) string {
	r := &request{id: id, path: path, idempotent: idempotent}
	w.requests.Store(r.id, r)
	method := http.MethodGet
	if !idempotent {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+i.address()+path, http.NoBody)
	if err != nil {
		w.fail("CALLER", "%v", err)
		return ""
	}
	message.Host = host
	message.Header.Set("X-Request-Id", r.id)
	message.Header.Set("X-Deadline-Ms", "1500")
	answer, err := client.Do(message)
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return ""
	}
	r.status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		return ""
	}
	w.served.Add(1)
	for _, service := range []string{"s0", "s1"} {
		if string(body) == platformtest.Body(service, r.id) && w.signed(answer.Header.Get("X-Response-Signature"), service, r.id) {
			return service
		}
	}
	w.fail("MIXED", "%s %s got %q signed %q", r.id, path, body, answer.Header.Get("X-Response-Signature"))
	return ""
}

// signed reports whether a server of a service signed the answer to a request.
func (w *world) signed(signature, service, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range append(append([]*platformtest.Target(nil), w.targets...), w.gone...) {
		if t.Service == service && platformtest.Signature(t.ID, id) == signature {
			return true
		}
	}
	return false
}

// call sends requests until the context ends.
func (w *world) call(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: random.IntN(2) == 0, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		i := w.instances[random.IntN(len(w.instances))]
		switch random.IntN(3) {
		case 0:
			w.send(ctx, client, i, "/read/x", true)
		case 1:
			w.send(ctx, client, i, "/book/x", false)
		case 2:
			w.send(ctx, client, i, "/log/x", true)
		}
		pause(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
}

// watch asks one instance again and again which configuration is in force. It must never go back in one incarnation.
func (w *world) watch(ctx context.Context, i *instance) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	incarnation, seen := 0, uint64(0)
	for ; ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		before := i.current()
		if before != incarnation {
			incarnation, seen = before, 0
		}
		service := w.send(ctx, client, i, "/which/x", true)
		if service == "" || i.current() != before {
			continue
		}
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		possible := seen
		for possible < newest && (possible == 0 || serviceOf(possible) != service) {
			possible++
		}
		if possible == 0 || serviceOf(possible) != service {
			w.fail("CONFIG", "%s served %s, version %d was seen before, %d is the newest", i.id, service, seen, newest)
			continue
		}
		seen = possible
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
