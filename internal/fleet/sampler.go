package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
)

// Prober reads the load of targets. Implementations are safe for concurrent use.
type Prober interface {
	// Open returns a connection for readings of one target.
	Open(address, healthPath, id string) Probe
}

// Probe reads the load of one target. It is used by one goroutine.
type Probe interface {
	Read(ctx context.Context) (dispatch.LoadReport, error)
	Close()
}

// NoLoadReportError reports a target that answers but does not tell its load.
type NoLoadReportError struct{ Target string }

func (e *NoLoadReportError) Error() string { return "target " + e.Target + " does not tell its load" }

const (
	// roundWait is how long a round waits for readings before it passes on those that came. Later ones join the next.
	roundWait = 6 * time.Millisecond
	// probeTimeout bounds one reading.
	probeTimeout = 80 * time.Millisecond
	// silentReadings is how many readings in a row must fail before a target counts as unreachable.
	silentReadings = 2
)

// sample is the end of one reading.
type sample struct {
	id       string
	service  string
	reading  dispatch.LoadReport
	failures int
	// unread is true when the target answered without telling its load.
	unread bool
}

// sampler reads the load of a set of targets in rounds. It is used by the control loop.
type sampler struct {
	prober  Prober
	now     func() time.Duration
	workers map[string]*worker
	results chan sample

	mu       sync.Mutex
	rounding bool
}

// worker reads one target when it is triggered.
type worker struct {
	address string
	service string
	trigger chan struct{}
	cancel  context.CancelFunc
}

func newSampler(prober Prober, now func() time.Duration) *sampler {
	return &sampler{prober: prober, now: now, workers: map[string]*worker{}, results: make(chan sample, 1024)}
}

// sync starts and ends workers so that there is one for each target.
func (s *sampler) sync(targets []registry.Target, healthPath func(service string) string) {
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.ID] = true
		if w := s.workers[t.ID]; w != nil && w.address == t.Address && w.service == t.Service {
			continue
		}
		s.end(t.ID)
		ctx, cancel := context.WithCancel(context.Background())
		w := &worker{address: t.Address, service: t.Service, trigger: make(chan struct{}, 1), cancel: cancel}
		s.workers[t.ID] = w
		go s.work(ctx, w, t.ID, s.prober.Open(t.Address, healthPath(t.Service), t.ID))
	}
	for id := range s.workers {
		if !wanted[id] {
			s.end(id)
		}
	}
}

func (s *sampler) end(id string) {
	if w := s.workers[id]; w != nil {
		w.cancel()
		delete(s.workers, id)
	}
}

func (s *sampler) stop() {
	for id := range s.workers {
		s.end(id)
	}
}

// work reads one target until it is ended.
func (s *sampler) work(ctx context.Context, w *worker, id string, probe Probe) {
	defer probe.Close()
	failures := 0
	for {
		select {
		case <-w.trigger:
		case <-ctx.Done():
			return
		}
		reading, err := s.read(ctx, probe)
		var noLoad *NoLoadReportError
		unread := errors.As(err, &noLoad)
		failures++
		if err == nil || unread {
			failures = 0
			reading.ReceivedAt = s.now()
		}
		select {
		case s.results <- sample{id: id, service: w.service, reading: reading, failures: failures, unread: unread}:
		case <-ctx.Done():
			return
		}
	}
}

func (s *sampler) read(ctx context.Context, probe Probe) (dispatch.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return probe.Read(ctx)
}

// round triggers a reading of each target that is due, and passes those that come in time on.
func (s *sampler) round(due func(id, service string) bool, done func([]sample)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rounding {
		return
	}
	s.rounding = true
	triggered := 0
	for id, w := range s.workers {
		if !due(id, w.service) {
			continue
		}
		select {
		case w.trigger <- struct{}{}:
			triggered++
		default:
		}
	}
	go s.collect(triggered, done)
}

func (s *sampler) collect(triggered int, done func([]sample)) {
	timer := time.NewTimer(roundWait)
	defer timer.Stop()
	samples := make([]sample, 0, triggered)
	for waiting := true; waiting && len(samples) < triggered; {
		select {
		case r := <-s.results:
			samples = append(samples, r)
		case <-timer.C:
			waiting = false
		}
	}
	s.mu.Lock()
	s.rounding = false
	s.mu.Unlock()
	if len(samples) > 0 {
		done(samples)
	}
}
