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
	// ServiceTime is how long a request runs. ServiceMSHeader adds to it.
	ServiceTime time.Duration
	// RejectAll answers every request with status 503 without running it.
	RejectAll bool
	// Draining sets the draining header on every answer.
	Draining bool
	// ColdFor is how long after its start the target runs requests ColdFactor times slower.
	ColdFor    time.Duration
	ColdFactor int
	// ReportedLoad replaces the number of in-flight requests that the target reports, unless it is nil.
	ReportedLoad *int64
}

// queuePerSlot is the number of requests per slot that may wait at a target.
const queuePerSlot = 8

// Target is a fake target. It runs as many requests at once as it has slots, queues queuePerSlot more for each slot,
// and sheds the rest with status 503. Its answer echoes the request. It is safe for concurrent use.
//
// It uses net/http, so that tests exchange messages with another HTTP implementation than that of the balancer.
type Target struct {
	// OnCrash is called by a request with FaultCrash. If it is nil, the target is closed instead. It must be set before Run.
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

// NewTarget returns a target that listens on an address of the form host:port. Run serves its requests.
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
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /executions", t.serveExecutions)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux}
	return t, nil
}

// Address returns the listening address.
func (t *Target) Address() string { return t.address }

// Run serves requests until Close, and then returns http.ErrServerClosed.
func (t *Target) Run() error { return t.server.Serve(t.listener) }

// Close stops the target at once and closes its connections.
func (t *Target) Close() error { return t.server.Close() }

// SetFaults replaces the faults for all later requests.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Executions returns the number of executions by token.
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

// InFlight returns the number of requests that are running or waiting.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.probes++
	t.mu.Unlock()
	t.setReportHeaders(w, t.currentFaults())
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"latency_us":%d}`, t.reportedLoad(), t.currentFaults().ServiceTime.Microseconds())
}

func (t *Target) reportedLoad() int64 {
	if reported := t.currentFaults().ReportedLoad; reported != nil {
		return *reported
	}
	return t.inFlight.Load()
}

func (t *Target) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Executions())
}

// serve runs a request, or answers with status 503 if the target sheds it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	request, err := parseRequest(r)
	if err != nil {
		return
	}
	faults := t.currentFaults()
	t.setReportHeaders(w, faults)
	w.Header().Set(header.RunID, r.Header.Get(header.RunID))
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	queueFull := inFlight > int64(cap(t.slots)*(1+queuePerSlot))
	if faults.RejectAll || request.fault == FaultShed || queueFull || !t.acquireSlot(r, request.timeout) {
		w.Header().Set(header.TargetNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.countExecution(request.token)
	t.execute(w, r, request, faults)
}

// setReportHeaders sets the headers that report the state of the target.
func (t *Target) setReportHeaders(w http.ResponseWriter, faults TargetFaults) {
	w.Header().Set(header.TargetIncarnation, t.incarnation)
	w.Header().Set(header.TargetLoad, strconv.FormatInt(t.reportedLoad(), 10))
	if faults.Draining {
		w.Header().Set(header.TargetDraining, "1")
	}
}

// acquireSlot waits for a slot, and returns false if the timeout expires or the caller closes the connection before.
func (t *Target) acquireSlot(r *http.Request, timeout time.Duration) bool {
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

func (t *Target) countExecution(token string) {
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
