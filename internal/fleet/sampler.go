package fleet

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
)

// Prober opens load probes. Implementations are safe for concurrent use.
type Prober interface {
	// Open returns a probe of one target. It does not connect yet.
	Open(address, healthPath, id string) Probe
}

// Probe requests the load of one target. It is used by one goroutine at a time.
type Probe interface {
	Read(ctx context.Context) (dispatch.LoadReport, error)
	Close()
}

// NoLoadReportError is returned by Probe.Read for a target that answers without a load report.
type NoLoadReportError struct{ Target string }

func (e *NoLoadReportError) Error() string { return "target " + e.Target + " does not report its load" }

const (
	// roundWait is how long a round waits for results before it returns those that arrived. Later ones are returned by
	// the next round.
	roundWait = 6 * time.Millisecond
	// probeTimeout is the timeout of one load probe.
	probeTimeout = 80 * time.Millisecond
	// maxProbeTime is how long a probe may take until its result is ignored. It times out earlier unless this process was
	// paused, and then neither silence nor an answer tells anything about the target.
	maxProbeTime = 2 * probeTimeout
	// unreachableFailures is the number of consecutive failed probes from which on a target counts as unreachable.
	unreachableFailures = 2
)

// probeResult is the result of one load probe.
type probeResult struct {
	id      string
	service string
	report  dispatch.LoadReport
	// startedAt is when the probe was sent.
	startedAt time.Duration
	failures  int
	// noLoadReport is true when the target answered without a load report.
	noLoadReport bool
}

// sampler probes a set of targets in rounds. It is used by the control loop only.
type sampler struct {
	prober Prober
	now    func() time.Duration
	// guard recovers from panics in probes.
	guard   *panicguard.Guard
	log     *slog.Logger
	workers map[string]*probeWorker
	results chan probeResult

	mu            sync.Mutex
	roundInFlight bool
}

// probeWorker probes one target whenever it is triggered.
type probeWorker struct {
	address string
	service string
	trigger chan struct{}
	cancel  context.CancelFunc
}

func newSampler(prober Prober, now func() time.Duration, guard *panicguard.Guard, log *slog.Logger) *sampler {
	return &sampler{prober: prober, now: now, guard: guard, log: log, workers: map[string]*probeWorker{}, results: make(chan probeResult, 1024)}
}

// sync starts and stops workers so that there is one for each target.
func (s *sampler) sync(targets []registry.Target, healthPath func(service string) string) {
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.ID] = true
		if w := s.workers[t.ID]; w != nil && w.address == t.Address && w.service == t.Service {
			continue
		}
		s.stopWorker(t.ID)
		ctx, cancel := context.WithCancel(context.Background())
		w := &probeWorker{address: t.Address, service: t.Service, trigger: make(chan struct{}, 1), cancel: cancel}
		s.workers[t.ID] = w
		go s.runWorker(ctx, w, t.ID, s.prober.Open(t.Address, healthPath(t.Service), t.ID))
	}
	for id := range s.workers {
		if !wanted[id] {
			s.stopWorker(id)
		}
	}
}

func (s *sampler) stopWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.cancel()
		delete(s.workers, id)
	}
}

func (s *sampler) stop() {
	for id := range s.workers {
		s.stopWorker(id)
	}
}

// runWorker probes one target until its worker is stopped.
func (s *sampler) runWorker(ctx context.Context, w *probeWorker, id string, probe Probe) {
	defer probe.Close()
	failures := 0
	for {
		select {
		case <-w.trigger:
		case <-ctx.Done():
			return
		}
		startedAt := s.now()
		report, err := s.probe(ctx, probe)
		if s.now()-startedAt > maxProbeTime {
			continue
		}
		var noLoad *NoLoadReportError
		noReport := errors.As(err, &noLoad)
		failures++
		if err == nil || noReport {
			failures = 0
			report.ReceivedAt = s.now()
		}
		select {
		case s.results <- probeResult{id: id, service: w.service, report: report, startedAt: startedAt, failures: failures, noLoadReport: noReport}:
		case <-ctx.Done():
			return
		}
	}
}

// probe reads the load once. A panic counts as a failed probe.
func (s *sampler) probe(ctx context.Context, probe Probe) (report dispatch.LoadReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err = s.guard.Call(s.log, "probe", func() (err error) {
		report, err = probe.Read(ctx)
		return err
	})
	return report, err
}

// startRound triggers a probe of each target that is due, and calls done with the results that arrive in time. It does
// nothing while a round is in flight, and does not block.
func (s *sampler) startRound(due func(id, service string) bool, done func([]probeResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roundInFlight {
		return
	}
	s.roundInFlight = true
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

func (s *sampler) collect(triggered int, done func([]probeResult)) {
	timer := time.NewTimer(roundWait)
	defer timer.Stop()
	results := make([]probeResult, 0, triggered)
	for waiting := true; waiting && len(results) < triggered; {
		select {
		case r := <-s.results:
			results = append(results, r)
		case <-timer.C:
			waiting = false
		}
	}
	s.mu.Lock()
	s.roundInFlight = false
	s.mu.Unlock()
	if len(results) > 0 {
		done(results)
	}
}
