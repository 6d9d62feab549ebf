package chart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// StateID is the number of a state in a Table. The initial state is 0.
type StateID uint8

// EventID is the number of an event in a Table.
type EventID uint8

// maxTableIDs is the maximum number of states and of events of a table. The numbers are below it, and refusedID equals it.
const maxTableIDs = 255

// refusedID is the entry of a table for a refused event.
const refusedID = StateID(maxTableIDs)

// Table is the compiled form of a chart, for code on which a Machine is too slow. It is filled by firing each event in
// each state of a Machine, so that both interpret the chart in the same way. A Table is immutable and safe for concurrent
// use. A lookup does not allocate.
type Table struct {
	name   string
	states []State
	events []Event
	// next holds the following state by state and event.
	next [][]StateID
}

// Table returns the compiled form of the chart. It returns a *CheckError if there are more than 255 states or events.
func (c *Chart) Table() (*Table, error) {
	if len(c.States) > maxTableIDs || len(c.Events) > maxTableIDs {
		return nil, &CheckError{Chart: c.Name, Problems: []string{fmt.Sprintf("%d states and %d events, a table can have %d of each", len(c.States), len(c.Events), maxTableIDs)}}
	}
	t := &Table{name: c.Name, states: []State{c.Initial}}
	for _, s := range c.States {
		if s.Name != c.Initial {
			t.states = append(t.states, s.Name)
		}
	}
	for _, e := range c.Events {
		t.events = append(t.events, e.Name)
	}
	m, err := c.Start(nil)
	if err != nil {
		return nil, err
	}
	for _, state := range t.states {
		row, err := t.transitionsFrom(m, state)
		if err != nil {
			return nil, err
		}
		t.next = append(t.next, row)
	}
	return t, nil
}

// transitionsFrom returns, for each event, the state to which the event leads from the given state. It changes the state
// of m.
func (t *Table) transitionsFrom(m *Machine, from State) ([]StateID, error) {
	row := make([]StateID, len(t.events))
	for i, event := range t.events {
		m.state.Store(from)
		err := m.machine.FireCtx(context.Background(), event)
		var refused *TransitionError
		switch {
		case err == nil:
			row[i] = StateID(slices.Index(t.states, m.State()))
		case errors.As(err, &refused):
			row[i] = refusedID
		default:
			return nil, trace.Wrap(err)
		}
	}
	return row, nil
}

// MustTable returns the compiled form of an embedded chart. It panics if the chart is invalid. It is meant for package
// variables, so that an invalid chart stops the process at startup.
func MustTable(name string) *Table {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	t, err := c.Table()
	if err != nil {
		panic(err)
	}
	return t
}

// MustState returns the number of a state. It panics if the chart does not declare the state.
func (t *Table) MustState(name State) StateID {
	i := slices.Index(t.states, name)
	if i < 0 {
		panic(&UnknownNameError{Chart: t.name, Kind: "state", Name: string(name)})
	}
	return StateID(i)
}

// MustEvent returns the number of an event. It panics if the chart does not declare the event.
func (t *Table) MustEvent(name Event) EventID {
	i := slices.Index(t.events, name)
	if i < 0 {
		panic(&UnknownNameError{Chart: t.name, Kind: "event", Name: string(name)})
	}
	return EventID(i)
}

// Next returns the state after an event. If the event is refused, it returns from and a *TransitionError, and counts the
// refused transition. An ignored event also leads to from.
func (t *Table) Next(from StateID, event EventID) (StateID, error) {
	next := t.next[from][event]
	if next == refusedID {
		return from, t.refuse(from, event)
	}
	return next, nil
}

func (t *Table) refuse(from StateID, event EventID) error {
	refusedTransitions.Add(1)
	return trace.Wrap(&TransitionError{Chart: t.name, State: t.states[from], Event: t.events[event]})
}

// TableMachine is the state of one object that follows a Table. The zero value is in the initial state. It is safe for
// concurrent use. All calls of Fire must pass the same table.
type TableMachine struct{ state atomic.Uint32 }

// State returns the current state.
func (m *TableMachine) State() StateID { return StateID(m.state.Load()) }

// Fire performs the transition of an event. It returns a *TransitionError, and counts it, if the table refuses the event.
func (m *TableMachine) Fire(t *Table, event EventID) error {
	for {
		from := m.State()
		next, err := t.Next(from, event)
		if err != nil || next == from || m.state.CompareAndSwap(uint32(from), uint32(next)) {
			return err
		}
	}
}
