package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/basillink/basillink/internal/balancer"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// policies lists the names of the selection policies.
func policies() []string { return balancer.Names() }

// rule is the meaning of an accept tag.
type rule struct {
	kind            string
	lowest, highest int
	// least and most bound a number with fractions.
	least, most float64
	options     []string
}

// parseRule reads tags such as "name", "range:1..10" and "oneof:a,b".
func parseRule(tag string) rule {
	kind, argument, _ := strings.Cut(tag, ":")
	r := rule{kind: kind}
	switch kind {
	case "range", "length":
		lowest, highest, _ := strings.Cut(argument, "..")
		r.lowest, _ = strconv.Atoi(lowest)
		r.highest, _ = strconv.Atoi(highest)
	case "number":
		least, most, _ := strings.Cut(argument, "..")
		r.least, _ = strconv.ParseFloat(least, 64)
		r.most, _ = strconv.ParseFloat(most, 64)
	case "oneof":
		r.options = strings.Split(argument, ",")
	case "policy":
		r.kind, r.options = "oneof", policies()
	}
	return r
}

func (r rule) describe() string {
	switch r.kind {
	case "name":
		return "lower-case letters, digits and hyphens, 1 to 63 characters"
	case "address":
		return "an IP address and port such as 10.0.0.7:8080"
	case "addresses":
		return "IP addresses with ports such as 10.0.0.7:8080"
	case "length":
		return fmt.Sprintf("%d to %d characters", r.lowest, r.highest)
	case "number":
		return fmt.Sprintf("%g to %g", r.least, r.most)
	case "range":
		return fmt.Sprintf("%d to %d", r.lowest, r.highest)
	case "oneof":
		return strings.Join(r.options, ", ")
	case "boolean":
		return "true, false"
	}
	return ""
}

// check returns the text of the value that is not accepted, or false.
func (r rule) check(value reflect.Value) (string, bool) {
	switch r.kind {
	case "name":
		return value.String(), !namePattern.MatchString(value.String())
	case "address":
		return value.String(), !isAddress(value.String())
	case "addresses":
		for i := range value.Len() {
			if text := value.Index(i).String(); !isAddress(text) {
				return text, true
			}
		}
	case "length":
		n := len(value.String())
		return fmt.Sprintf("(%d characters)", n), n < r.lowest || n > r.highest
	case "range":
		n := int(value.Int())
		return strconv.Itoa(n), n < r.lowest || n > r.highest
	case "number":
		n := value.Float()
		return strconv.FormatFloat(n, 'g', -1, 64), !(n >= r.least && n <= r.most)
	case "oneof":
		return value.String(), !slices.Contains(r.options, value.String())
	}
	return "", false
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
