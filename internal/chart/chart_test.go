package chart

import (
	"context"
	"strings"
	"sync"
	"testing"
)

// Guards against an embedded chart that cannot be loaded at start.
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
	}
}

const nested = `
initial = "off"
[[event]]
name = "go"
[[event]]
name = "halt"
[[state]]
name = "off"
ignore = ["halt"]
on = [{ event = "go", to = "slow" }]
[[state]]
name = "on"
ignore = ["go"]
on = [{ event = "halt", to = "off" }]
[[state]]
name = "slow"
parent = "on"
on = [{ event = "go", to = "slow" }]
`

// Guards against charts with gaps that would show only when the event happens.
func TestParseRefusesFaultyCharts(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unhandled event":    {`ignore = ["halt"]`, ``, `state "off" neither handles nor ignores the event "halt"`},
		"unreachable state":  {`{ event = "go", to = "slow" }`, `{ event = "go", to = "off" }`, `state "on" is unreachable`},
		"undeclared event":   {`ignore = ["halt"]`, `ignore = ["halt", "x"]`, `undeclared event "x"`},
		"undeclared state":   {`to = "off"`, `to = "x"`, `undeclared state "x"`},
		"undeclared initial": {`initial = "off"`, `initial = "x"`, `initial state "x"`},
		"undeclared parent":  {`parent = "on"`, `parent = "x"`, `undeclared parent "x"`},
		"parent cycle":       {`parent = "on"`, `parent = "slow"`, `state "slow" encloses itself`},
		"event twice":        {`ignore = ["go"]`, `ignore = ["go", "go"]`, `handles the event "go" twice`},
		"unknown key":        {`initial = "off"`, "initial = \"off\"\nguard = 1", `unknown key`},
	}
	if _, err := Parse("nested", []byte(nested)); err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("nested", []byte(strings.Replace(nested, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

// Guards against an interpreter that disagrees with the file on parents, re-entry, ignored and undeclared events.
func TestMachineFollowsChart(t *testing.T) {
	c, err := Parse("nested", []byte(nested))
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
	if err := m.Fire(t.Context(), "x"); err == nil {
		t.Fatal("an undeclared event was accepted")
	}
	if _, err := c.Start(map[State]EnterFunc{"x": nil}); err == nil {
		t.Fatal("a function for an undeclared state was accepted")
	}
}

// Guards against lost or doubled transitions when several goroutines fire at once.
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
