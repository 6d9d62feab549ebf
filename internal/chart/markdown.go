package chart

import (
	"fmt"
	"strings"
)

// Markdown returns a section of documentation with a heading, a Mermaid diagram and tables of the states and events.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s Source: `internal/chart/charts/%s.toml`.\n\n", c.Title, c.Help, c.Name)
	fmt.Fprintf(&b, "```mermaid\n%s```\n\n", c.Mermaid())
	b.WriteString("| state | meaning | ignored events | refused events |\n| --- | --- | --- | --- |\n")
	for _, s := range c.States {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", s.Name, s.Help, eventList(s.Ignore), eventList(s.Refuse))
	}
	b.WriteString("\n| event | meaning |\n| --- | --- |\n")
	for _, e := range c.Events {
		fmt.Fprintf(&b, "| `%s` | %s |\n", e.Name, e.Help)
	}
	return b.String()
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	c.writeSubstates(&b, "", "    ")
	for _, s := range c.States {
		for _, t := range s.On {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s.Name, t.To, t.Event)
		}
	}
	return b.String()
}

// writeSubstates writes the declarations of the composite states below parent, and of all states inside them.
func (c *Chart) writeSubstates(b *strings.Builder, parent State, indent string) {
	for _, s := range c.States {
		if s.Parent != parent {
			continue
		}
		if !c.hasSubstates(s.Name) {
			if parent != "" {
				fmt.Fprintf(b, "%s%s\n", indent, s.Name)
			}
			continue
		}
		fmt.Fprintf(b, "%sstate %s {\n", indent, s.Name)
		c.writeSubstates(b, s.Name, indent+"    ")
		fmt.Fprintf(b, "%s}\n", indent)
	}
}

func (c *Chart) hasSubstates(name State) bool {
	for _, s := range c.States {
		if s.Parent == name {
			return true
		}
	}
	return false
}

func eventList(events []Event) string {
	names := make([]string, len(events))
	for i, e := range events {
		names[i] = "`" + string(e) + "`"
	}
	return strings.Join(names, ", ")
}
