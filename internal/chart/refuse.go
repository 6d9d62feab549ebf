package chart

import (
	"fmt"
	"sync/atomic"
)

// refusals counts the events that charts refused since the start of the process.
var refusals atomic.Uint64

// RefusedTransitions returns how many events the charts of this process refused. Each of them is a fault of the program.
func RefusedTransitions() uint64 { return refusals.Load() }

// TransitionError reports an event that a chart refuses in a state. The state stays as it is.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: state %q refuses the event %q", e.Chart, e.State, e.Event)
}
