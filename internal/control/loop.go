// Package control owns the control state of an instance. One goroutine folds the
// log, builds snapshots and publishes them through an atomic pointer. Traffic
// goroutines only read snapshots.
package control

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/internal/transport"
)

// Loop is the control goroutine. Snapshot may be called from any goroutine.
type Loop struct {
	zone    string
	builder balancer.Builder
	log     *slog.Logger

	pages    chan pageEvent
	snapshot atomic.Pointer[Snapshot]
	// configured is closed when the first configuration is in force.
	configured chan struct{}

	// The fields below belong to the goroutine in Run.
	state *intent.State
	pools map[string]*transport.Pool
}

type pageEvent struct {
	page platform.Page
	done chan platform.Offset
}

// New returns a loop for an instance in an availability zone.
func New(zone string, builder balancer.Builder, log *slog.Logger) *Loop {
	return &Loop{
		zone:       zone,
		builder:    builder,
		log:        log,
		pages:      make(chan pageEvent),
		configured: make(chan struct{}),
		state:      intent.NewState(),
		pools:      map[string]*transport.Pool{},
	}
}

// Snapshot returns the configuration in force, or nil before the first.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Configured is closed when the first configuration is in force.
func (l *Loop) Configured() <-chan struct{} { return l.configured }

// Run processes events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.pages:
			l.applyPage(event.page)
			event.done <- l.state.Through
		}
	}
}

// Deliver hands a page of the log to the loop and returns the applied offset.
func (l *Loop) Deliver(ctx context.Context, page platform.Page) (platform.Offset, error) {
	event := pageEvent{page: page, done: make(chan platform.Offset, 1)}
	select {
	case l.pages <- event:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case through := <-event.done:
		return through, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *Loop) applyPage(page platform.Page) {
	state, err := intent.Recover(l.state, page.Earliest, page.Records)
	if err != nil {
		l.log.Error("Cannot continue from the log.", "error", err)
		return
	}
	l.state = state
	before := l.state.Revision
	for _, record := range page.Records {
		l.logDecision(l.state.Apply(record))
	}
	if l.snapshot.Load() == nil || l.state.Revision != before {
		l.publish()
	}
}

func (l *Loop) logDecision(d intent.Decision) {
	switch d.Verdict {
	case intent.Accepted:
		l.log.Info("Accepted a change.", "service", d.Change.Service, "revision", d.Offset, "change", d.Change.ID)
	case intent.Conflict:
		l.log.Warn("Refused a change with an old base.", "service", d.Change.Service, "base", d.Change.Base, "current", d.Current)
	case intent.Malformed:
		l.log.Error("Ignored a malformed record.", "offset", d.Offset, "error", d.Err)
	}
}
