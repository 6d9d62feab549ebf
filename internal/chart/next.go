package chart

import "slices"

// Next returns the state that follows an event. An event that is ignored, refused or not declared leads to the same
// state; one that is refused or not declared is counted. It serves pure decision code that keeps states by name.
func (c *Chart) Next(from State, event Event) State {
	for name := from; name != ""; {
		s := c.state(name)
		if s == nil {
			break
		}
		for _, t := range s.On {
			if t.Event == event {
				return t.To
			}
		}
		if slices.Contains(s.Ignore, event) {
			return from
		}
		name = s.Parent
	}
	refusals.Add(1)
	return from
}
