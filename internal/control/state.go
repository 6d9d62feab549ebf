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

// logUnreachableAfter is longer than a read of a slow log, which takes 5 s plus a long poll of at most 2 s.
const logUnreachableAfter = 10 * time.Second

// StartStatechart starts the state machine of the configuration. It must be called before Run.
func (l *Loop) StartStatechart() error {
	c, err := chart.Load("configuration")
	if err != nil {
		return trace.Wrap(err)
	}
	l.statechart, err = c.Start(nil)
	return trace.Wrap(err)
}

// State returns the state of the configuration: none, in_force, stale or cut_off; "" before StartStatechart. It may be
// called from any goroutine.
func (l *Loop) State() string {
	if l.statechart == nil {
		return ""
	}
	return string(l.statechart.State())
}

// fire sends an event to the state machine and logs a change of the state.
func (l *Loop) fire(event chart.Event) {
	if l.statechart == nil {
		return
	}
	before := l.statechart.State()
	if err := l.statechart.Fire(context.Background(), event); err != nil {
		l.log.Error("A statechart refused an event.", "error", err)
	}
	if after := l.statechart.State(); after != before {
		l.log.Info("The state of the configuration changed.", "before", string(before), "after", string(after))
	}
}

// observePage records the time of a valid page of the log and fires eventCurrent or eventBehind.
func (l *Loop) observePage(page logservice.Page) {
	l.lastRead = l.now()
	if l.fold.CaughtUp(page) {
		l.fire(eventCurrent)
		return
	}
	l.fire(eventBehind)
}

// checkLogReachable fires eventUnreachable if no valid page was received within logUnreachableAfter.
func (l *Loop) checkLogReachable() {
	if l.now()-l.lastRead > logUnreachableAfter {
		l.fire(eventUnreachable)
	}
}

// ObservePeerOffset compares the applied offset of a peer with that of this instance. If the peer's is higher, it fires
// eventBehind. It must be called on the control goroutine.
func (l *Loop) ObservePeerOffset(offset logservice.Offset) {
	if offset > l.fold.State().Through {
		l.fire(eventBehind)
	}
}
