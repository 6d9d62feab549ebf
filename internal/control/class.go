package control

import (
	"slices"
	"strings"

	"github.com/basillink/basillink/operator"
)

// classMatches reports whether a request belongs to a class. A class without methods matches every method.
func classMatches(c *operator.Class, method, path string) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
		return false
	}
	return strings.HasPrefix(path, c.PathPrefix)
}
