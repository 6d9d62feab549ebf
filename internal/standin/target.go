package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/header"
)

// TargetFaults are the faults that a target injects.
type TargetFaults struct {
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// RejectAll answers every request 503 without running it.
	RejectAll bool
	// Draining marks every answer.
	Draining bool
}

// Target is a server of a service. It runs up to slots requests at once, lets a few wait, and sheds the rest.
// Its answer echoes the request's token. It is safe for concurrent use.
//
// It uses net/http, so that the other end of the wire is not the codec that the balancer uses.
type Target struct {
	address  string
	slots    chan struct{}
	queue    int64
	inFlight atomic.Int64
	server   *http.Server
	listener net.Listener

	mu         sync.Mutex
	faults     TargetFaults
	executions map[string]int
}

// TokenHeader carries the token that a target echoes in the body.
const TokenHeader = "X-Token"

// NewTarget returns a target that listens on an address.
func NewTarget(address string, slots int) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Target{
		address:    listener.Addr().String(),
		slots:      make(chan struct{}, slots),
		queue:      int64(8 * slots),
		listener:   listener,
		executions: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("/", t.run)
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

// Executions returns how often requests with the token were run.
func (t *Target) Executions(token string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[token]
}

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"latency_us":0}`, t.inFlight.Load())
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	faults := t.currentFaults()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	waiting := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if faults.Draining {
		w.Header().Set(header.TargetDraining, "1")
	}
	if faults.RejectAll || waiting > int64(cap(t.slots))+t.queue || !t.enter(r) {
		w.Header().Set(header.TargetNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	t.execute(w, r, body, faults)
}

// enter waits for a slot, for no longer than the caller's remaining time.
func (t *Target) enter(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(header.TimeoutMS)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) execute(w http.ResponseWriter, r *http.Request, body []byte, faults TargetFaults) {
	token := r.Header.Get(TokenHeader)
	t.mu.Lock()
	t.executions[token]++
	t.mu.Unlock()
	time.Sleep(faults.ServiceTime)
	w.Header().Set(header.TargetLoad, strconv.FormatInt(t.inFlight.Load(), 10))
	_, _ = fmt.Fprintf(w, "%s %s token=%s body=%d\n", r.Method, r.URL.RequestURI(), token, len(body))
}
