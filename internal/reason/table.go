package reason

import (
	"fmt"
	"strings"
)

// MarkdownTable returns all reasons as a Markdown table for docs/operators.md.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| reason | kind | status | outcome | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range all {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.Name, r.Kind, statusText(r.Status), r.Outcome, r.Help)
	}
	return b.String()
}

func statusText(status int) string {
	if status == 0 {
		return ""
	}
	return fmt.Sprint(status)
}
