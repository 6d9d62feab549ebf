// Package chart interprets statecharts that are kept as TOML files in the binary.
//
// A chart names its events and states. Every event is handled, explicitly
// ignored or explicitly refused in every state, and every state is reachable;
// Parse rejects a chart that breaks either rule, so that a gap shows at start and
// not in an incident. A refused event is a fault of the program: it changes
// nothing, is counted, and fails with a *TransitionError.
//
// A package that needs a chart adds charts/NAME.toml here, loads it with Load
// and starts a Machine for each object with a life cycle. Charts are immutable
// and may be shared. Firing an event of a Machine costs about a microsecond and
// allocates, so machines belong on control paths. Paths of requests, and objects
// of which there are many, use the compiled form, a Table.
package chart

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/basillink/basillink/internal/strictoml"
)

//go:embed charts/*.toml
var files embed.FS

const directory = "charts"

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a checked statechart. It is immutable.
type Chart struct {
	// Name is the name of the file without its suffix.
	Name string `toml:"-"`
	// Title is a heading for documentation.
	Title string `toml:"title"`
	// Help says in one sentence what the chart describes.
	Help string `toml:"help"`
	// Initial is the state of a new machine.
	Initial State `toml:"initial"`
	// Events lists every event.
	Events []EventSpec `toml:"event"`
	// States lists every state.
	States []StateSpec `toml:"state"`
}

// EventSpec declares an event.
type EventSpec struct {
	Name Event  `toml:"name"`
	Help string `toml:"help"`
}

// StateSpec declares a state and what it does with each event.
type StateSpec struct {
	Name State  `toml:"name"`
	Help string `toml:"help"`
	// Parent is the enclosing state, which handles the events that this state does not. Empty for none.
	Parent State `toml:"parent"`
	// Ignore lists events that have no effect in this state.
	Ignore []Event `toml:"ignore"`
	// Refuse lists events that must not happen in this state.
	Refuse []Event `toml:"refuse"`
	// On lists the transitions out of this state.
	On []Transition `toml:"on"`
}

// Transition leads to another state. A transition to its own state leaves and enters it again.
type Transition struct {
	Event Event `toml:"event"`
	To    State `toml:"to"`
}

// Load returns the embedded chart of a name.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile(path.Join(directory, name+".toml"))
	if err != nil {
		return nil, &CheckError{Chart: name, Problems: []string{"no such chart"}}
	}
	return Parse(name, data)
}

// All returns every embedded chart in the order of names.
func All() ([]*Chart, error) {
	entries, err := fs.ReadDir(files, directory)
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

// Parse decodes and checks a chart.
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
