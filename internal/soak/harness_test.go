package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	host              = "soak.example"
	slotsPerTarget    = 4
	serviceTime       = 25 * time.Millisecond
	targetsPerService = 6
	callerCount       = 20
	heartbeatInterval = time.Second
)

// harness runs a store, targets, edge instances and callers, and collects the violations that they observe.
type harness struct {
	t         *testing.T
	store     *platformtest.Store
	runs      *platformtest.Runs
	instances []*instance

	mu             sync.Mutex
	random         *rand.Rand
	targets        []*platformtest.Target
	removed        []*platformtest.Target
	sequence       int64
	startedTargets int
	configVersion  uint64

	requests     sync.Map
	requestCount atomic.Int64
	violations   sync.Map
	servedCount  atomic.Int64
	started      time.Time
	crashLog     crashLog
	// everyBatch holds the faults that each batch injects, besides random ones.
	everyBatch []fault
	// faults are the kinds of which each batch injects some.
	faults []fault
	// adjustConfig changes a configuration before it is published and returns the keys of its workspaces by their names.
	adjustConfig func(*routes.Config) map[string][]string
}

// recordViolation records a violated guarantee. Kinds are the names of the rules that the platform's users publish. Violations
// with the same kind and text are stored once.
func (h *harness) recordViolation(kind, format string, args ...any) {
	h.violations.Store(kind+": "+fmt.Sprintf(format, args...), time.Since(h.started))
}

func newHarness(t *testing.T, options ...func(*harness)) *harness {
	t.Helper()
	h := &harness{
		t: t, store: platformtest.NewStore(), runs: platformtest.NewRuns(), random: rand.New(rand.NewPCG(*seed, 1)),
		started: time.Now(), faults: faults, adjustConfig: func(*routes.Config) map[string][]string { return nil },
	}
	t.Cleanup(h.store.Close)
	for _, option := range options {
		option(h)
	}
	h.publishConfig()
	for range targetsPerService {
		h.addTarget("s0", "")
		h.addTarget("s1", "")
	}
	directory := t.TempDir()
	for number := range *instances {
		front := h.store.NewFront()
		i, err := newInstance(number, fmt.Sprintf("z%d", number%2), front.Address(), directory)
		if err != nil {
			t.Fatal(err)
		}
		i.storeFront = front
		h.instances = append(h.instances, i)
		t.Cleanup(func() { _ = i.stop(killSignal) })
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// publishConfig publishes the next configuration version. In even versions the route /which/ leads to service s0, in odd
// versions to s1, so that the answering service reveals the parity of the version in force.
func (h *harness) publishConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion++
	h.putConfig()
}

// putConfig writes the newest configuration to the store. The caller must hold h.mu.
func (h *harness) putConfig() {
	route := func(name, service string, idempotent bool) routes.Route {
		return routes.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: idempotent, Timeout: 1500 * time.Millisecond,
			LatencyObjective: 300 * time.Millisecond, MaxAttempts: 3, Split: []routes.Share{{Service: service, Weight: 1}},
		}
	}
	config := &routes.Config{
		Version:  h.configVersion,
		Services: []routes.Service{{Name: "s0", HealthPath: "/health", MaxConnections: 200}, {Name: "s1", HealthPath: "/health", MaxConnections: 200}},
		Routes: []routes.Route{
			route("read", "s0", true), route("book", "s0", false), route("log", "s1", true), route("which", serviceOf(h.configVersion), true),
		},
	}
	keys := h.adjustConfig(config)
	h.store.PutKeyedConfig(config, keys)
}

func serviceOf(version uint64) string { return fmt.Sprintf("s%d", version%2) }

// addTarget starts a target and registers it. If address is empty, the target listens on a free port.
func (h *harness) addTarget(service, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedTargets++
	if address == "" {
		address = "127.0.0.1:0"
	}
	id := fmt.Sprintf("t%d", h.startedTargets)
	target, err := platformtest.NewTarget(id, service, address, slotsPerTarget, serviceTime, h.runs, func() { go h.replaceCrashedTarget(id) })
	if err != nil {
		h.t.Logf("could not start target %s at %s: %v", id, address, err)
		return
	}
	h.targets = append(h.targets, target)
	h.register(target, false)
}

// register writes the entry of a target to the store. The caller must hold h.mu.
func (h *harness) register(t *platformtest.Target, draining bool) {
	h.sequence++
	h.store.PutTarget(&registry.Entry{
		ID: t.ID, Address: t.Address(), Service: t.Service, Zone: zoneOf(t.ID), Slots: slotsPerTarget,
		Draining: draining, Born: h.started.UnixMilli() + int64(numberOf(t.ID)),
	}, h.sequence)
}

// numberOf returns the number in the ID of a target.
func numberOf(target string) int {
	var number int
	_, _ = fmt.Sscanf(target, "t%d", &number)
	return number
}

func zoneOf(target string) string { return fmt.Sprintf("z%d", numberOf(target)/2%2) }

// sendHeartbeats writes the entries of all targets every heartbeatInterval until ctx is done.
func (h *harness) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		for _, t := range h.targets {
			h.register(t, false)
		}
		h.mu.Unlock()
		sleep(ctx, heartbeatInterval)
	}
}

// request is a request that a caller sent and the status of its answer, 0 if no complete answer arrived.
type request struct {
	id, path   string
	idempotent bool
	status     int
	// key is the key that the caller sent, and workspace the one that held it, both empty if it sent none.
	key, workspace string
	// inTouch tells whether the instance was undisturbed for stabilityWindow from before the send to the end of the answer.
	inTouch bool
	// instance is the ID of the instance that got it, and sentAt when.
	instance string
	sentAt   time.Time
}

// send sends a request and checks its answer. It returns the name of the service that answered with status 200, or "".
func (h *harness) send(ctx context.Context, client *http.Client, i *instance, path string, idempotent bool) string {
	return h.sendWithID(ctx, client, i, fmt.Sprintf("r%d", h.requestCount.Add(1)), path, idempotent)
}

// sendWithID is like send but uses the given request ID.
func (h *harness) sendWithID(ctx context.Context, client *http.Client, i *instance, id, path string, idempotent bool) string {
	return h.sendRequest(ctx, client, i, &request{id: id, path: path, idempotent: idempotent})
}

// sendRequest is like send but takes the request, and sets what it learns.
func (h *harness) sendRequest(ctx context.Context, client *http.Client, i *instance, r *request) string {
	r.instance, r.sentAt = i.id, time.Now()
	h.requests.Store(r.id, r)
	undisturbed := i.undisturbedFor(stabilityWindow)
	defer func() { r.inTouch = undisturbed && i.undisturbedFor(stabilityWindow) }()
	method := http.MethodGet
	if !r.idempotent {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+i.address()+r.path, http.NoBody)
	if err != nil {
		h.recordViolation("CALLER", "%v", err)
		return ""
	}
	httpRequest.Host = host
	httpRequest.Header.Set("X-Request-Id", r.id)
	httpRequest.Header.Set("X-Deadline-Ms", "1500")
	if r.key != "" {
		httpRequest.Header.Set("X-Key", r.key)
		httpRequest.Header.Set("X-Tenant-Id", forgedWorkspace)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	r.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return ""
	}
	h.servedCount.Add(1)
	for _, service := range []string{"s0", "s1"} {
		if string(body) == platformtest.Body(service, r.id) && h.hasValidSignature(response.Header.Get("X-Response-Signature"), service, r.id) {
			return service
		}
	}
	h.recordViolation("MIXED", "request %s to %s got the body %q with signature %q", r.id, r.path, body, response.Header.Get("X-Response-Signature"))
	return ""
}

// hasValidSignature reports whether signature is that of a target of the service for the answer to request id.
func (h *harness) hasValidSignature(signature, service, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range append(append([]*platformtest.Target(nil), h.targets...), h.removed...) {
		if t.Service == service && platformtest.Signature(t.ID, id) == signature {
			return true
		}
	}
	return false
}

// callerAddress returns a loopback address for the connections of a caller. Instances have other addresses.
func callerAddress(number int) string {
	return fmt.Sprintf("127.200.%d.%d", number/250%250, 1+number%250)
}

// newClient returns a client whose connections come from the given address.
func newClient(address string, keepAlive bool) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: !keepAlive, DisableCompression: true,
	}}
}

// runCaller sends random requests from an address through random instances until ctx is done.
func (h *harness) runCaller(ctx context.Context, random *rand.Rand, address string) {
	client := newClient(address, random.IntN(2) != 0)
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		i := h.instances[random.IntN(len(h.instances))]
		switch random.IntN(3) {
		case 0:
			h.send(ctx, client, i, "/read/x", true)
		case 1:
			h.send(ctx, client, i, "/book/x", false)
		case 2:
			h.send(ctx, client, i, "/log/x", true)
		}
		sleep(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
}

// watchConfigVersion sends requests to /which/ on one instance until ctx is done. It verifies that within an incarnation the
// answers are consistent with a configuration version that never decreases.
func (h *harness) watchConfigVersion(ctx context.Context, i *instance) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	incarnation, lastVersion := 0, uint64(0)
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		current := i.currentIncarnation()
		if current != incarnation {
			incarnation, lastVersion = current, 0
		}
		service := h.send(ctx, client, i, "/which/x", true)
		if service == "" || i.currentIncarnation() != current {
			continue
		}
		h.mu.Lock()
		newest := h.configVersion
		h.mu.Unlock()
		possible := lastVersion
		for possible < newest && (possible == 0 || serviceOf(possible) != service) {
			possible++
		}
		if possible == 0 || serviceOf(possible) != service {
			h.recordViolation("CONFIG", "instance %s answered from service %s after version %d was in force; the newest is %d", i.id, service, lastVersion, newest)
			continue
		}
		lastVersion = possible
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
