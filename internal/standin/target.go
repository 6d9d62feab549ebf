package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/basillink/basillink/internal/header"
)

// TargetFaults are the faults that a target injects into every request.
type TargetFaults struct {
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// RejectAll answers every request 503 without running it.
	RejectAll bool
	// Draining marks every answer.
	Draining bool
	// ColdFor is how long after its start the target runs requests ColdFactor times slower.
	ColdFor    time.Duration
	ColdFactor int
	// ReportedLoad replaces the load that the target reports, unless it is nil.
	ReportedLoad *int64
}

// queuePerSlot bounds the requests that wait at a target.
const queuePerSlot = 8

// Target is a server of a service. It runs up to slots requests at once, lets a few wait, and sheds the rest.
// Its answer echoes the request's token. It is safe for concurrent use.
//
// It uses net/http, so that the other end of the wire is not the codec that the balancer uses.
type Target struct {
	// OnCrash is called instead of closing the target when a request crashes it.
	OnCrash func()

	address     string
	incarnation string
	started     time.Time
	slots       chan struct{}
	inFlight    atomic.Int64
	server      *http.Server
	listener    net.Listener

	mu         sync.Mutex
	faults     TargetFaults
	executions map[string]int
	probes     int
}

// NewTarget returns a target that listens on an address.
func NewTarget(address string, slots int) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		address:     listener.Addr().String(),
		incarnation: uuid.NewString(),
		started:     time.Now(),
		slots:       make(chan struct{}, slots),
		listener:    listener,
		executions:  map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("GET /executions", t.listExecutions)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux}
	return t, nil
}

// Address returns the listening address.
func (t *Target) Address() string { return t.address }

// Run serves until Close.
func (t *Target) Run() error { return t.server.Serve(t.listener) }

// Close stops the target at once and drops its connections.
func (t *Target) Close() error { return t.server.Close() }

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Executions returns how often requests were run, by token.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.executions)
}

// Probes returns the number of load probes received.
func (t *Target) Probes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probes
}

// InFlight returns the number of requests that run or wait.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.probes++
	t.mu.Unlock()
	t.describe(w, t.currentFaults())
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"latency_us":%d}`, t.reportedLoad(), t.currentFaults().ServiceTime.Microseconds())
}

func (t *Target) reportedLoad() int64 {
	if reported := t.currentFaults().ReportedLoad; reported != nil {
		return *reported
	}
	return t.inFlight.Load()
}

func (t *Target) listExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Executions())
}

// serve admits a request and runs it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	run, err := readRun(r)
	if err != nil {
		return
	}
	faults := t.currentFaults()
	t.describe(w, faults)
	w.Header().Set(header.RunID, r.Header.Get(header.RunID))
	waiting := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	full := waiting > int64(cap(t.slots)*(1+queuePerSlot))
	if faults.RejectAll || run.fault == FaultShed || full || !t.enter(r, run.timeout) {
		w.Header().Set(header.TargetNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.count(run.token)
	t.execute(w, r, run, faults)
}

func (t *Target) describe(w http.ResponseWriter, faults TargetFaults) {
	w.Header().Set(header.TargetIncarnation, t.incarnation)
	w.Header().Set(header.TargetLoad, strconv.FormatInt(t.reportedLoad(), 10))
	if faults.Draining {
		w.Header().Set(header.TargetDraining, "1")
	}
}

// enter waits for a slot until the caller leaves or its remaining time has passed.
func (t *Target) enter(r *http.Request, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) count(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[token]++
}

func (t *Target) crash() {
	if t.OnCrash != nil {
		t.OnCrash()
		return
	}
	_ = t.Close()
}
