package chart

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Guards against embedded charts that are invalid, and against tables that differ from their charts.
func TestEmbeddedChartsAreComplete(t *testing.T) {
	charts, err := All()
	if err != nil {
		t.Fatal(err)
	}
	if len(charts) == 0 {
		t.Fatal("no embedded chart")
	}
	for _, c := range charts {
		if _, err := c.Start(nil); err != nil {
			t.Errorf("%s: %v", c.Name, err)
		}
		if c.Title == "" || c.Help == "" {
			t.Errorf("%s has no title or help", c.Name)
		}
		table, err := c.Table()
		if err != nil {
			t.Fatal(err)
		}
		for i, state := range table.states {
			for j, event := range table.events {
				checkTransition(t, c, table, StateID(i), EventID(j), c.Next(state, event))
			}
		}
	}
}

// checkTransition checks that an event leads to the wanted state, and that exactly the refused events return a
// *TransitionError and are counted.
func checkTransition(t *testing.T, c *Chart, table *Table, state StateID, event EventID, want State) {
	t.Helper()
	before := RefusedTransitions()
	next, err := table.Next(state, event)
	var refused *TransitionError
	isRefused := c.refuses(table.states[state], table.events[event]) && !slices.ContainsFunc(
		c.withAncestors(table.states[state]), func(s *StateSpec) bool { return s.handles(table.events[event]) })
	if errors.As(err, &refused) != isRefused || RefusedTransitions()-before != uint64(boolToInt(isRefused)) || table.states[next] != want {
		t.Errorf("%s: %s by %s leads to %s with error %v, want %s, refused %t",
			c.Name, table.states[state], table.events[event], table.states[next], err, want, isRefused)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

const nestedChart = `
initial = "off"
[[event]]
name = "go"
[[event]]
name = "halt"
[[event]]
name = "crash"
[[state]]
name = "off"
ignore = ["halt"]
refuse = ["crash"]
on = [{ event = "go", to = "slow" }]
[[state]]
name = "on"
ignore = ["go"]
refuse = ["crash"]
on = [{ event = "halt", to = "off" }]
[[state]]
name = "slow"
parent = "on"
on = [{ event = "go", to = "slow" }]
`

// Guards against invalid charts that are accepted and fail only when an event occurs.
func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unhandled event":     {`ignore = ["halt"]`, ``, `state "off" neither handles, ignores nor refuses the event "halt"`},
		"unreachable state":   {`{ event = "go", to = "slow" }`, `{ event = "go", to = "off" }`, `state "on" is unreachable`},
		"undeclared event":    {`ignore = ["halt"]`, `ignore = ["halt", "x"]`, `undeclared event "x"`},
		"undeclared state":    {`to = "off"`, `to = "x"`, `undeclared state "x"`},
		"undeclared initial":  {`initial = "off"`, `initial = "x"`, `initial state "x"`},
		"undeclared parent":   {`parent = "on"`, `parent = "x"`, `undeclared parent "x"`},
		"parent cycle":        {`parent = "on"`, `parent = "slow"`, `state "slow" encloses itself`},
		"event twice":         {`ignore = ["go"]`, `ignore = ["go", "go"]`, `handles the event "go" twice`},
		"refused but handled": {`parent = "on"`, "parent = \"on\"\nrefuse = [\"halt\"]", `refuses the event "halt" that an enclosing state handles`},
		"unknown key":         {`initial = "off"`, "initial = \"off\"\nguard = 1", `unknown key`},
	}
	if _, err := Parse("nested", []byte(nestedChart)); err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("nested", []byte(strings.Replace(nestedChart, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

// Guards against a Machine that handles parents, re-entry, or ignored, refused or undeclared events differently from the
// chart.
func TestMachineFollowsChart(t *testing.T) {
	c, err := Parse("nested", []byte(nestedChart))
	if err != nil {
		t.Fatal(err)
	}
	var entered []string
	m, err := c.Start(map[State]EnterFunc{
		"slow": func(_ context.Context, e Event) { entered = append(entered, "slow by "+string(e)) },
		"off":  func(_ context.Context, e Event) { entered = append(entered, "off by "+string(e)) },
	})
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		event Event
		want  State
	}{{"halt", "off"}, {"go", "slow"}, {"go", "slow"}, {"halt", "off"}}
	for _, step := range steps {
		if err := m.Fire(t.Context(), step.event); err != nil || m.State() != step.want {
			t.Fatalf("%s: state %s, error %v, want %s", step.event, m.State(), err, step.want)
		}
	}
	if got := strings.Join(entered, ", "); got != "slow by go, slow by go, off by halt" {
		t.Fatalf("entered %s", got)
	}
	m.state.Store(State("slow"))
	before := RefusedTransitions()
	var refused *TransitionError
	if err := m.Fire(t.Context(), "crash"); !errors.As(err, &refused) || m.State() != "slow" || RefusedTransitions() != before+1 {
		t.Fatalf("refused event: got error %v, state %s, %d refused transitions", err, m.State(), RefusedTransitions()-before)
	}
	if err := m.Fire(t.Context(), "x"); err == nil {
		t.Fatal("an undeclared event was accepted")
	}
	if _, err := c.Start(map[State]EnterFunc{"x": nil}); err == nil {
		t.Fatal("a function for an undeclared state was accepted")
	}
}

// Guards against transitions that are lost or happen twice when several goroutines fire events concurrently.
func TestMachineSerializesEvents(t *testing.T) {
	c, err := Load("lifecycle")
	if err != nil {
		t.Fatal(err)
	}
	drains := 0
	m, err := c.Start(map[State]EnterFunc{"draining": func(context.Context, Event) { drains++ }})
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			_ = m.Fire(t.Context(), "configured")
			_ = m.Fire(t.Context(), "stop")
		})
	}
	group.Wait()
	if drains != 1 || m.State() != "draining" {
		t.Fatalf("entered draining %d times, state %s", drains, m.State())
	}
}

// BenchmarkFire compares a transition of a Machine with one of a TableMachine.
func BenchmarkFire(b *testing.B) {
	c, err := Load("connection")
	if err != nil {
		b.Fatal(err)
	}
	b.Run("machine", func(b *testing.B) {
		m, err := c.Start(nil)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			m.state.Store(State("idle"))
			_ = m.Fire(b.Context(), "take")
		}
	})
	b.Run("table", func(b *testing.B) {
		table := MustTable("connection")
		idle, take := table.MustState("idle"), table.MustEvent("take")
		var machine TableMachine
		b.ReportAllocs()
		for b.Loop() {
			machine.state.Store(uint32(idle))
			_ = machine.Fire(table, take)
		}
	})
}
