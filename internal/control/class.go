package control

import (
	"slices"
	"strings"

	"github.com/basillink/basillink/operator"
)

func matches(c *operator.Class, method, path string) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
		return false
	}
	return strings.HasPrefix(path, c.PathPrefix)
}
