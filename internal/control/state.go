package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/logservice"
)

// Events in charts/configuration.toml.
const (
	eventCurrent     = chart.Event("current")
	eventMerged      = chart.Event("merged")
	eventBehind      = chart.Event("behind")
	eventUnreachable = chart.Event("unreachable")
)

// unreachableAfter is longer than a read of a slow log takes: 5 s and a long poll of at most 2 s.
const unreachableAfter = 10 * time.Second

// TrackState starts the statechart of the configuration. It must be called before Run.
func (l *Loop) StartStatechart() error {
	c, err := chart.Load("configuration")
	if err != nil {
		return trace.Wrap(err)
	}
	l.state, err = c.Start(nil)
	return trace.Wrap(err)
}

// State returns the state of the configuration: none, in_force, stale or cut_off. It may be called from any goroutine.
func (l *Loop) State() string {
	if l.state == nil {
		return ""
	}
	return string(l.state.State())
}

func (l *Loop) fire(event chart.Event) {
	if l.state == nil {
		return
	}
	before := l.state.State()
	if err := l.state.Fire(context.Background(), event); err != nil {
		l.log.Error("A statechart refused an event.", "error", err)
	}
	if after := l.state.State(); after != before {
		l.log.Info("The state of the configuration changed.", "before", string(before), "after", string(after))
	}
}

// followed takes note of a page of the log.
func (l *Loop) followed(page logservice.Page) {
	l.lastRead = l.now()
	if l.fold.CaughtUp(page) {
		l.fire(eventCurrent)
		return
	}
	l.fire(eventBehind)
}

// checkReachable fires when the log has not been usable for a while.
func (l *Loop) checkReachable() {
	if l.now()-l.lastRead > unreachableAfter {
		l.fire(eventUnreachable)
	}
}

// Known takes note of the applied offset of a peer. It must be called on the control goroutine.
func (l *Loop) ObservePeerOffset(through logservice.Offset) {
	if through > l.fold.State().Through {
		l.fire(eventBehind)
	}
}
