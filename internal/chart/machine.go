package chart

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/qmuntal/stateless"
)

// EnterFunc is called when an event enters a state. It runs while Fire holds the lock of the machine, so it must not fire
// events of the same machine.
type EnterFunc func(ctx context.Context, event Event)

// UnknownNameError reports the use of a name that the chart does not declare.
type UnknownNameError struct {
	Chart string
	// Kind is "state" or "event".
	Kind string
	Name string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("chart %s: %s %q is not declared", e.Chart, e.Kind, e.Name)
}

// Machine is a state machine that follows a chart. It is safe for concurrent use: events are handled one at a time, and
// State never blocks.
type Machine struct {
	chart   *Chart
	mu      sync.Mutex
	state   atomic.Value
	machine *stateless.StateMachine
}

// Start returns a machine in the initial state. The map enter holds functions that are called when a state is entered.
// The function of the initial state is not called by Start, only when the machine returns to that state. Start returns an
// *UnknownNameError if enter names an undeclared state.
func (c *Chart) Start(enter map[State]EnterFunc) (*Machine, error) {
	for name := range enter {
		if c.state(name) == nil {
			return nil, &UnknownNameError{Chart: c.Name, Kind: "state", Name: string(name)}
		}
	}
	m := &Machine{chart: c}
	m.state.Store(c.Initial)
	m.machine = stateless.NewStateMachineWithExternalStorage(m.loadState, m.storeState, stateless.FiringImmediate)
	m.machine.OnUnhandledTrigger(m.onUnhandled)
	for i := range c.States {
		m.configure(&c.States[i], enter[c.States[i].Name])
	}
	return m, nil
}

func (m *Machine) loadState(context.Context) (stateless.State, error) { return m.State(), nil }

func (m *Machine) storeState(_ context.Context, next stateless.State) error {
	m.state.Store(next)
	return nil
}

// onUnhandled is called for events that a state neither handles nor ignores. In a checked chart these are the refused ones.
func (m *Machine) onUnhandled(_ context.Context, state stateless.State, trigger stateless.Trigger, _ []string) error {
	from, _ := state.(State)
	event, _ := trigger.(Event)
	return &TransitionError{Chart: m.chart.Name, State: from, Event: event}
}

// configure adds a state to the underlying state machine. The function enter may be nil.
func (m *Machine) configure(s *StateSpec, enter EnterFunc) {
	config := m.machine.Configure(s.Name)
	if s.Parent != "" {
		config.SubstateOf(s.Parent)
	}
	for _, event := range s.Ignore {
		config.Ignore(event)
	}
	for _, t := range s.On {
		if t.To == s.Name {
			config.PermitReentry(t.Event)
			continue
		}
		config.Permit(t.Event, t.To)
	}
	if enter == nil {
		return
	}
	config.OnEntry(func(ctx context.Context, _ ...any) error {
		event, _ := stateless.GetTransition(ctx).Trigger.(Event)
		enter(ctx, event)
		return nil
	})
}

// State returns the current state.
func (m *Machine) State() State {
	s, _ := m.state.Load().(State)
	return s
}

// Fire handles an event and calls the functions of the states that are entered. It returns a *TransitionError, and counts
// it, if the current state refuses the event, and an *UnknownNameError if the chart does not declare the event.
func (m *Machine) Fire(ctx context.Context, event Event) error {
	if !m.chart.hasEvent(event) {
		return &UnknownNameError{Chart: m.chart.Name, Kind: "event", Name: string(event)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.machine.FireCtx(ctx, event)
	var refused *TransitionError
	if errors.As(err, &refused) {
		refusedTransitions.Add(1)
	}
	return trace.Wrap(err)
}
