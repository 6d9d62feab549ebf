package chart

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// StateID is the number of a state in a Table. The initial state is 0.
type StateID uint8

// EventID is the number of an event in a Table.
type EventID uint8

// maxTableNames bounds the states and the events of a table. The highest number marks refused events.
const maxTableNames = 255

const refusedID = StateID(maxTableNames)

// Table holds the transitions of a chart for paths on which a Machine costs too much. It is filled by firing each
// event in each state of a Machine, so that both follow the file in the same way. It is immutable, and a lookup
// allocates nothing.
type Table struct {
	name   string
	states []State
	events []Event
	next   [][]StateID
}

// Table compiles the chart.
func (c *Chart) Table() (*Table, error) {
	if len(c.States) > maxTableNames || len(c.Events) > maxTableNames {
		return nil, &CheckError{Chart: c.Name, Problems: []string{"too many states or events for a table"}}
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
		row, err := t.row(m, state)
		if err != nil {
			return nil, err
		}
		t.next = append(t.next, row)
	}
	return t, nil
}

// row returns the states that follow a state by each event.
func (t *Table) row(m *Machine, from State) ([]StateID, error) {
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

// MustTable returns the compiled form of an embedded chart. It panics when the chart is faulty, so that the process
// fails at start.
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

// MustState returns the number of a state. It panics when the chart does not declare it.
func (t *Table) MustState(name State) StateID {
	i := slices.Index(t.states, name)
	if i < 0 {
		panic(&UnknownNameError{Chart: t.name, Kind: "state", Name: string(name)})
	}
	return StateID(i)
}

// MustEvent returns the number of an event. It panics when the chart does not declare it.
func (t *Table) MustEvent(name Event) EventID {
	i := slices.Index(t.events, name)
	if i < 0 {
		panic(&UnknownNameError{Chart: t.name, Kind: "event", Name: string(name)})
	}
	return EventID(i)
}

// Next returns the state that follows an event. For a refused event it returns the same state and a
// *TransitionError, and counts the refusal.
func (t *Table) Next(from StateID, event EventID) (StateID, error) {
	next := t.next[from][event]
	if next == refusedID {
		return from, t.refuse(from, event)
	}
	return next, nil
}

func (t *Table) refuse(from StateID, event EventID) error {
	refusals.Add(1)
	return trace.Wrap(&TransitionError{Chart: t.name, State: t.states[from], Event: t.events[event]})
}

// TableMachine is the state of one object that follows a Table. Its zero value is the initial state. It is safe for
// concurrent use and must always be used with the same table.
type TableMachine struct{ state atomic.Uint32 }

// State returns the current state.
func (c *TableMachine) State() StateID { return StateID(c.state.Load()) }

// Fire takes the transition of an event. It fails with a *TransitionError when the table refuses the event.
func (c *TableMachine) Fire(t *Table, event EventID) error {
	for {
		from := c.State()
		next, err := t.Next(from, event)
		if err != nil || next == from || c.state.CompareAndSwap(uint32(from), uint32(next)) {
			return err
		}
	}
}
