// Package chart interprets statecharts, which are TOML files embedded in the binary.
//
// A chart declares events and states. In every state, each event must be
// handled, explicitly ignored or explicitly refused, and every state must be
// reachable. Parse rejects a chart that breaks one of these rules, so that a
// missing case is found at startup. A refused event is a bug in the program: the
// state does not change, the event is counted, and the caller gets a
// *TransitionError.
//
// A package that needs a chart adds charts/NAME.toml here, loads it with Load
// and starts a Machine for each object that has a life cycle. Charts are
// immutable and may be shared. Firing an event of a Machine takes about 1 µs and
// allocates, so a Machine is meant for the control plane. The request path, and
// kinds of objects with many instances, use the compiled form, Table.
package chart

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/basillink/basillink/internal/strictoml"
)

//go:embed charts/*.toml
var chartFiles embed.FS

const chartDir = "charts"

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a statechart that passed the checks of Parse. It is immutable and safe for concurrent use.
type Chart struct {
	// Name is the name of the file without its suffix.
	Name string `toml:"-"`
	// Title is a heading for documentation.
	Title string `toml:"title"`
	// Help describes the chart for documentation.
	Help string `toml:"help"`
	// Initial is the state of a new machine.
	Initial State `toml:"initial"`
	// Events declares all events of the chart.
	Events []EventSpec `toml:"event"`
	// States declares all states of the chart.
	States []StateSpec `toml:"state"`
}

// EventSpec declares an event.
type EventSpec struct {
	Name Event  `toml:"name"`
	Help string `toml:"help"`
}

// StateSpec declares a state and how it responds to events.
type StateSpec struct {
	Name State  `toml:"name"`
	Help string `toml:"help"`
	// Parent is the enclosing state, which handles the events that this state does not handle. It is empty for a top-level
	// state.
	Parent State `toml:"parent"`
	// Ignore lists events that have no effect in this state.
	Ignore []Event `toml:"ignore"`
	// Refuse lists events that must not occur in this state.
	Refuse []Event `toml:"refuse"`
	// On lists the transitions from this state.
	On []Transition `toml:"on"`
}

// Transition is a transition to the state To. If To is the state itself, the state is exited and entered again.
type Transition struct {
	Event Event `toml:"event"`
	To    State `toml:"to"`
}

// Load returns the embedded chart charts/NAME.toml. It returns a *CheckError if there is no such chart, and the errors of
// Parse if the chart is invalid.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile(path.Join(chartDir, name+".toml"))
	if err != nil {
		return nil, &CheckError{Chart: name, Problems: []string{"no embedded chart has this name"}}
	}
	return Parse(name, data)
}

// All returns all embedded charts in lexical order of their names.
func All() ([]*Chart, error) {
	entries, err := fs.ReadDir(chartFiles, chartDir)
	if err != nil {
		return nil, err
	}
	var charts []*Chart
	for _, entry := range entries {
		c, err := Load(strings.TrimSuffix(entry.Name(), ".toml"))
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	return charts, nil
}

// Parse decodes and checks a chart. It returns a *strictoml.Error for invalid TOML and a *CheckError that lists all
// problems for an invalid chart.
func Parse(name string, data []byte) (*Chart, error) {
	c := &Chart{}
	if err := strictoml.Decode(name, data, c); err != nil {
		return nil, err
	}
	c.Name = name
	if problems := c.check(); len(problems) > 0 {
		return nil, &CheckError{Chart: name, Problems: problems}
	}
	return c, nil
}

// state returns the declaration of a state, or nil if the chart does not declare it.
func (c *Chart) state(name State) *StateSpec {
	for i := range c.States {
		if c.States[i].Name == name {
			return &c.States[i]
		}
	}
	return nil
}

func (c *Chart) hasEvent(name Event) bool {
	for _, e := range c.Events {
		if e.Name == name {
			return true
		}
	}
	return false
}
