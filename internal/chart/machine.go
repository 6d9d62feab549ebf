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

// EnterFunc runs when a state is entered by an event. It must not fire events of the same machine.
type EnterFunc func(ctx context.Context, event Event)

// UnknownNameError reports the use of a name that the chart does not declare.
type UnknownNameError struct {
	Chart string
	Kind  string
	Name  string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("chart %s: %s %q is not declared", e.Chart, e.Kind, e.Name)
}

// Machine is one running instance of a chart. It is safe for concurrent use:
// events are handled one at a time, and State never blocks.
type Machine struct {
	chart   *Chart
	mu      sync.Mutex
	state   atomic.Value
	machine *stateless.StateMachine
}

// Start returns a machine in the initial state. Enter holds the functions that run on entering a state;
// the initial state counts as entered only when the machine returns to it.
func (c *Chart) Start(enter map[State]EnterFunc) (*Machine, error) {
	for name := range enter {
		if c.state(name) == nil {
			return nil, &UnknownNameError{Chart: c.Name, Kind: "state", Name: string(name)}
		}
	}
	m := &Machine{chart: c}
	m.state.Store(c.Initial)
	m.machine = stateless.NewStateMachineWithExternalStorage(m.load, m.store, stateless.FiringImmediate)
	m.machine.OnUnhandledTrigger(m.unhandled)
	for i := range c.States {
		m.configure(&c.States[i], enter[c.States[i].Name])
	}
	return m, nil
}

func (m *Machine) load(context.Context) (stateless.State, error) { return m.State(), nil }

func (m *Machine) store(_ context.Context, next stateless.State) error {
	m.state.Store(next)
	return nil
}

func (m *Machine) unhandled(_ context.Context, state stateless.State, trigger stateless.Trigger, _ []string) error {
	from, _ := state.(State)
	event, _ := trigger.(Event)
	return &TransitionError{Chart: m.chart.Name, State: from, Event: event}
}

func (m *Machine) configure(s *StateSpec, enter EnterFunc) {
	configuration := m.machine.Configure(s.Name)
	if s.Parent != "" {
		configuration.SubstateOf(s.Parent)
	}
	for _, event := range s.Ignore {
		configuration.Ignore(event)
	}
	for _, t := range s.On {
		if t.To == s.Name {
			configuration.PermitReentry(t.Event)
			continue
		}
		configuration.Permit(t.Event, t.To)
	}
	if enter == nil {
		return
	}
	configuration.OnEntry(func(ctx context.Context, _ ...any) error {
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

// Fire handles an event and runs the functions of the states that it enters.
// It fails with a *TransitionError for an event that the state refuses, and for one that the chart does not declare.
func (m *Machine) Fire(ctx context.Context, event Event) error {
	if !m.chart.hasEvent(event) {
		return &UnknownNameError{Chart: m.chart.Name, Kind: "event", Name: string(event)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.machine.FireCtx(ctx, event)
	var refused *TransitionError
	if errors.As(err, &refused) {
		refusals.Add(1)
	}
	return trace.Wrap(err)
}
