package chart

import (
	"fmt"
	"slices"
	"strings"
)

// CheckError reports all problems of an invalid chart.
type CheckError struct {
	Chart    string
	Problems []string
}

func (e *CheckError) Error() string {
	return fmt.Sprintf("chart %s: %s", e.Chart, strings.Join(e.Problems, "; "))
}

// check returns the problems of the chart. If checkNames finds any, the checks that rely on valid names are skipped.
func (c *Chart) check() []string {
	problems := c.checkNames()
	if len(problems) > 0 {
		return problems
	}
	problems = append(problems, c.checkReachable()...)
	return append(problems, c.checkHandled()...)
}

// checkNames returns references to undeclared names, names that are declared twice and cycles of parents.
func (c *Chart) checkNames() []string {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if c.state(c.Initial) == nil {
		report("initial state %q is not declared", c.Initial)
	}
	for i, e := range c.Events {
		if slices.ContainsFunc(c.Events[:i], func(o EventSpec) bool { return o.Name == e.Name }) {
			report("event %q is declared twice", e.Name)
		}
	}
	for i, s := range c.States {
		if slices.ContainsFunc(c.States[:i], func(o StateSpec) bool { return o.Name == s.Name }) {
			report("state %q is declared twice", s.Name)
		}
		if s.Parent != "" && c.state(s.Parent) == nil {
			report("state %q has the undeclared parent %q", s.Name, s.Parent)
		}
		if c.inParentCycle(s.Name) {
			report("state %q encloses itself", s.Name)
		}
		problems = append(problems, c.checkState(&s)...)
	}
	return problems
}

// checkState returns the undeclared names that a state uses and the events that it lists more than once.
func (c *Chart) checkState(s *StateSpec) []string {
	var problems []string
	seen := map[Event]bool{}
	checkEvent := func(event Event) {
		if !c.hasEvent(event) {
			problems = append(problems, fmt.Sprintf("state %q uses the undeclared event %q", s.Name, event))
		}
		if seen[event] {
			problems = append(problems, fmt.Sprintf("state %q handles the event %q twice", s.Name, event))
		}
		seen[event] = true
	}
	for _, event := range slices.Concat(s.Ignore, s.Refuse) {
		checkEvent(event)
	}
	for _, t := range s.On {
		checkEvent(t.Event)
		if c.state(t.To) == nil {
			problems = append(problems, fmt.Sprintf("state %q leads to the undeclared state %q", s.Name, t.To))
		}
	}
	return problems
}

func (c *Chart) inParentCycle(name State) bool {
	s := c.state(name)
	for range c.States {
		if s == nil || s.Parent == "" {
			return false
		}
		s = c.state(s.Parent)
	}
	return true
}

// withAncestors returns a state and the states that enclose it, innermost first.
func (c *Chart) withAncestors(name State) []*StateSpec {
	var list []*StateSpec
	for s := c.state(name); s != nil; s = c.state(s.Parent) {
		list = append(list, s)
	}
	return list
}

// checkReachable returns the states that no sequence of events reaches from the initial state. A state is also reached
// if one of its substates is.
func (c *Chart) checkReachable() []string {
	reached := map[State]bool{}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, s := range c.withAncestors(name) {
			if reached[s.Name] {
				continue
			}
			reached[s.Name] = true
			for _, t := range s.On {
				queue = append(queue, t.To)
			}
		}
	}
	var problems []string
	for _, s := range c.States {
		if !reached[s.Name] {
			problems = append(problems, fmt.Sprintf("state %q is unreachable", s.Name))
		}
	}
	return problems
}

// checkHandled returns the events that a state neither handles, ignores nor refuses, and those that it refuses although an
// ancestor handles them.
func (c *Chart) checkHandled() []string {
	var problems []string
	for _, s := range c.States {
		for _, e := range c.Events {
			handled := slices.ContainsFunc(c.withAncestors(s.Name), func(s *StateSpec) bool { return s.handles(e.Name) })
			refused := slices.Contains(s.Refuse, e.Name)
			switch {
			case handled && refused:
				problems = append(problems, fmt.Sprintf("state %q refuses the event %q that an enclosing state handles", s.Name, e.Name))
			case !handled && !c.refuses(s.Name, e.Name):
				problems = append(problems, fmt.Sprintf("state %q neither handles, ignores nor refuses the event %q", s.Name, e.Name))
			}
		}
	}
	return problems
}

// refuses reports whether a state or one of its ancestors lists an event as refused.
func (c *Chart) refuses(name State, event Event) bool {
	return slices.ContainsFunc(c.withAncestors(name), func(s *StateSpec) bool { return slices.Contains(s.Refuse, event) })
}

// handles reports whether the state itself ignores an event or has a transition for it.
func (s *StateSpec) handles(event Event) bool {
	return slices.Contains(s.Ignore, event) || s.hasTransition(event)
}

func (s *StateSpec) hasTransition(event Event) bool {
	return slices.ContainsFunc(s.On, func(t Transition) bool { return t.Event == event })
}
