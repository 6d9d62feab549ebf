package chart

import "slices"

// Next returns the state after an event. It returns from if the event is ignored, refused or not declared; in the last
// two cases it also counts a refused transition. Next is for code that stores the names of states and has no Machine.
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
	refusedTransitions.Add(1)
	return from
}
