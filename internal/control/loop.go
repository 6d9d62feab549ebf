// Package control owns the control state of an instance. One goroutine folds the
// configuration log, tracks departed targets, and builds snapshots, which it
// publishes through an atomic pointer. Traffic goroutines only read snapshots and
// report events through a bounded queue.
package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/peer"
)

// maintenanceInterval is the interval of the periodic checks in Run.
const maintenanceInterval = time.Second

// Loop owns the control state and changes it on the goroutine in Run, the control goroutine. Snapshot, Configured,
// Observe, ObserveDraining, DroppedEvents, State, Do and Deliver may be called from any goroutine.
type Loop struct {
	// SelfID is the ID of this instance and LiveIDs returns the IDs of all live instances. They determine the subset of
	// targets that this instance uses. Both must be set before Run.
	SelfID  string
	LiveIDs func() []string

	zone    string
	builder balancer.Builder
	log     *slog.Logger
	guard   panicguard.Guard
	start   time.Time

	calls         chan func()
	events        chan TargetEvent
	droppedEvents atomic.Uint64
	snapshot      atomic.Pointer[Snapshot]
	// statechart is the state machine of the configuration, nil before StartStatechart.
	statechart *chart.Machine
	// configured is closed when the first snapshot is published.
	configured chan struct{}

	// The fields below are owned by the control goroutine.
	fold            *intent.Fold
	departures      *departures
	checkpointTimer *intent.CheckpointTimer
	spreadRumor     func(peer.Rumor)
	// lastRead is the time of the last valid page of the log, since start.
	lastRead time.Duration
	// pools holds the connection pools of all targets in the snapshot by address.
	pools map[string]*targetPool
	// instances are the sorted IDs of the live instances.
	instances []string
	// snapshotInstances is the value of instances for which the snapshot was built.
	snapshotInstances []string
}

// New returns a loop for an instance in the given availability zone.
func New(zone string, builder balancer.Builder, log *slog.Logger) *Loop {
	return &Loop{
		zone:            zone,
		builder:         builder,
		log:             log,
		start:           time.Now(),
		calls:           make(chan func()),
		events:          make(chan TargetEvent, eventQueueSize),
		configured:      make(chan struct{}),
		fold:            intent.NewFold(),
		departures:      newDepartures(),
		checkpointTimer: intent.NewCheckpointTimer(newRandom()),
		pools:           map[string]*targetPool{},
	}
}

// Snapshot returns the snapshot in force, or nil before the first one.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Configured returns a channel that is closed when the first snapshot is published.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Run processes calls and events until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.calls:
			call()
		case event := <-l.events:
			l.guard.Run(l.log, "event", func() { l.applyEvent(event) })
		case <-ticker.C:
			l.expireDepartures()
			l.updateInstances()
			l.checkLogReachable()
		}
	}
}

// Panics returns the number of calls and events whose handling panicked.
func (l *Loop) Panics() int64 { return l.guard.Panics() }

// Do runs f on the control goroutine and waits until it returned. f must not block or call Do. Do returns an error if
// ctx is done before f was started, and a *panicguard.Error if f panicked: f handles what peers, the platform and targets sent
// to all instances, so that the fleet would end with it.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	var panicked error
	call := func() {
		defer close(done)
		panicked = l.guard.Call(l.log, "call", func() error { f(); return nil })
	}
	select {
	case l.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	// f was started and does not block. Waiting without ctx ensures that its results are complete.
	<-done
	return panicked
}

// Deliver applies a page of the log on the control goroutine and returns the offset of the next read. If the page does
// not continue the applied records or cannot be applied, it returns an error; the caller should retry from the returned
// offset after a backoff.
func (l *Loop) Deliver(ctx context.Context, page logservice.Page) (next logservice.Offset, err error) {
	callErr := l.Do(ctx, func() {
		next = l.fold.Next()
		err = l.applyPage(page)
		next = l.fold.Next()
	})
	if callErr != nil {
		return next, callErr
	}
	return next, err
}

// applyPage folds a page and publishes a changed state. The first snapshot is published only at the end of the log, so
// that a starting instance does not serve outdated revisions.
func (l *Loop) applyPage(page logservice.Page) error {
	l.observeCheckpoints(page)
	before := l.fold.State().Revision
	err := l.fold.ApplyPage(page, l.logDecision)
	unconfigured := l.snapshot.Load() == nil
	switch {
	case unconfigured && err == nil && l.fold.CaughtUp(page):
		l.publish()
	case !unconfigured && l.fold.State().Revision != before:
		l.publish()
	}
	if err == nil {
		l.observePage(page)
	}
	return err
}

// logDecision logs the result of folding a record.
func (l *Loop) logDecision(d intent.Decision) {
	switch d.Verdict {
	case intent.Accepted:
		l.log.Info("Accepted a change.", "service", d.Change.Service, "revision", d.Offset, "change", d.Change.ID)
	case intent.Conflict:
		l.log.Warn("Refused a change with an outdated base revision.", "service", d.Change.Service, "base", d.Change.Base, "current", d.CurrentRevision)
	case intent.Malformed:
		l.log.Error("Ignored a malformed record.", "offset", d.Offset, "error", d.Err)
	case intent.UnsupportedFormat:
		l.log.Warn("Skipped a record of an unsupported format.", "offset", d.Offset, "error", d.Err)
	}
}

// AppliedOffset returns the offset of the last applied record. It must be called on the control goroutine.
func (l *Loop) AppliedOffset() logservice.Offset { return l.fold.State().Through }

// Delta returns the changes after an offset. It must be called on the control goroutine.
func (l *Loop) Delta(after logservice.Offset) *intent.Delta { return l.fold.State().Delta(after) }

// Merge applies a delta from a peer and publishes a changed state. It must be called on the control goroutine.
func (l *Loop) Merge(d *intent.Delta) error {
	before := l.fold.State().Revision
	changed, err := l.fold.Merge(d)
	if err != nil || !changed {
		return err
	}
	if l.fold.State().Revision != before || l.snapshot.Load() == nil {
		l.publish()
	}
	l.fire(eventMerged)
	return nil
}
