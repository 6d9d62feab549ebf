// Package control owns the control state of an instance. One goroutine folds the
// log, keeps departures, builds snapshots and publishes them through an atomic
// pointer. Traffic goroutines only read snapshots and hand in events through a
// bounded queue.
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
	"github.com/basillink/basillink/internal/peer"
)

const expiryInterval = time.Second

// Loop is the control goroutine. Snapshot, Observe, Do and Deliver may be called from any goroutine.
type Loop struct {
	// Self is the id of this instance, and Members returns those of the live ones. They are set before Run and select
	// the subsets of targets.
	SelfID  string
	LiveIDs func() []string

	zone    string
	builder balancer.Builder
	log     *slog.Logger
	start   time.Time

	calls    chan func()
	events   chan TargetEvent
	dropped  atomic.Uint64
	snapshot atomic.Pointer[Snapshot]
	// state is the statechart of the configuration, nil before TrackState.
	state *chart.Machine
	// configured is closed when the first configuration is in force.
	configured chan struct{}

	// The fields below belong to the goroutine in Run.
	fold       *intent.Fold
	departures *departures
	checkpoint *intent.CheckpointTimer
	spread     func(peer.Rumor)
	// lastRead is when the log last gave a usable answer.
	lastRead time.Duration
	pools    map[string]*targetPool
	// instances are the ids of the live instances in order.
	instances []string
	// builtFor are the instances for which the snapshot was built.
	builtFor []string
}

// New returns a loop for an instance in an availability zone.
func New(zone string, builder balancer.Builder, log *slog.Logger) *Loop {
	return &Loop{
		zone:       zone,
		builder:    builder,
		log:        log,
		start:      time.Now(),
		calls:      make(chan func()),
		events:     make(chan TargetEvent, eventQueue),
		configured: make(chan struct{}),
		fold:       intent.NewFold(),
		departures: newDepartures(),
		checkpoint: intent.NewCheckpointTimer(newRandom()),
		pools:      map[string]*targetPool{},
	}
}

// Snapshot returns the configuration in force, or nil before the first.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Configured is closed when the first configuration is in force.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Run processes events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.calls:
			call()
		case event := <-l.events:
			l.applyEvent(event)
		case <-expiry.C:
			l.expireDepartures()
			l.followInstances()
			l.checkReachable()
		}
	}
}

// Do runs f on the control goroutine and waits for its end. F must not block and must not call Do.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	call := func() {
		defer close(done)
		f()
	}
	select {
	case l.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	// The call was handed over and runs to its end without blocking, so that what f writes is complete.
	<-done
	return nil
}

// Deliver hands a page of the log to the loop and returns the offset from which to read next. An error means that
// the page does not lead on; reading goes on from the returned offset after a pause.
func (l *Loop) Deliver(ctx context.Context, page logservice.Page) (next logservice.Offset, err error) {
	callErr := l.Do(ctx, func() {
		err = l.applyPage(page)
		next = l.fold.Next()
	})
	if callErr != nil {
		return 0, callErr
	}
	return next, err
}

// applyPage folds a page. The first configuration goes into force when the end of the log is reached, so that a
// fresh instance does not serve old revisions one after another.
func (l *Loop) applyPage(page logservice.Page) error {
	l.noteCheckpoints(page)
	before := l.fold.State().Revision
	err := l.fold.ApplyPage(page, l.logDecision)
	fresh := l.snapshot.Load() == nil
	switch {
	case fresh && err == nil && l.fold.CaughtUp(page):
		l.publish()
	case !fresh && l.fold.State().Revision != before:
		l.publish()
	}
	if err == nil {
		l.followed(page)
	}
	return err
}

func (l *Loop) logDecision(d intent.Decision) {
	switch d.Verdict {
	case intent.Accepted:
		l.log.Info("Accepted a change.", "service", d.Change.Service, "revision", d.Offset, "change", d.Change.ID)
	case intent.Conflict:
		l.log.Warn("Refused a change with an old base.", "service", d.Change.Service, "base", d.Change.Base, "current", d.CurrentRevision)
	case intent.Malformed:
		l.log.Error("Ignored a malformed record.", "offset", d.Offset, "error", d.Err)
	case intent.UnsupportedFormat:
		l.log.Warn("Left out a record of a newer format.", "offset", d.Offset, "error", d.Err)
	}
}

// Through returns the applied offset. It must be called on the control goroutine.
func (l *Loop) AppliedOffset() logservice.Offset { return l.fold.State().Through }

// Delta returns what changed after an offset. It must be called on the control goroutine.
func (l *Loop) Delta(after logservice.Offset) *intent.Delta { return l.fold.State().Delta(after) }

// Merge applies a delta from a peer. It must be called on the control goroutine.
func (l *Loop) Merge(d *intent.Delta) error {
	before := l.fold.State().Revision
	moved, err := l.fold.Merge(d)
	if err != nil || !moved {
		return err
	}
	if l.fold.State().Revision != before || l.snapshot.Load() == nil {
		l.publish()
	}
	l.fire(eventMerged)
	return nil
}
