package chart

import "slices"

// Next returns the state that follows an event. An event that is ignored or not declared leads to the same state. It
// serves pure decision code that keeps many states of its own, where a Machine for each would be too large.
func (c *Chart) Next(from State, event Event) State {
	for name := from; name != ""; {
		s := c.state(name)
		if s == nil {
			return from
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
	return from
}
