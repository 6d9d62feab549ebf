package chart

import (
	"fmt"
	"sync/atomic"
)

// refusedTransitions counts the events that charts refused since the start of the process.
var refusedTransitions atomic.Uint64

// RefusedTransitions returns the number of events that the charts of this process refused. Each of them is a bug in the
// program. It is safe for concurrent use.
func RefusedTransitions() uint64 { return refusedTransitions.Load() }

// TransitionError reports an event that a chart refuses in a state. The state did not change.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: state %q refuses the event %q", e.Chart, e.State, e.Event)
}
