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

// policyNames returns the names of the selection policies.
func policyNames() []string { return balancer.Names() }

// rule is a parsed accept tag. It describes and checks the accepted values of a setting.
type rule struct {
	kind string
	// minInt and maxInt are the inclusive limits of an integer, or of the length of a string in bytes.
	minInt, maxInt int
	// minNumber and maxNumber are the inclusive limits of a floating-point number.
	minNumber, maxNumber float64
	options              []string
}

// parseRule parses accept tags such as "name", "range:1..10" and "oneof:a,b".
func parseRule(tag string) rule {
	kind, argument, _ := strings.Cut(tag, ":")
	r := rule{kind: kind}
	switch kind {
	case "range", "length":
		lowest, highest, _ := strings.Cut(argument, "..")
		r.minInt, _ = strconv.Atoi(lowest)
		r.maxInt, _ = strconv.Atoi(highest)
	case "number":
		minimum, maximum, _ := strings.Cut(argument, "..")
		r.minNumber, _ = strconv.ParseFloat(minimum, 64)
		r.maxNumber, _ = strconv.ParseFloat(maximum, 64)
	case "oneof":
		r.options = strings.Split(argument, ",")
	case "policy":
		r.kind, r.options = "oneof", policyNames()
	}
	return r
}

// describe returns a description of the accepted values.
func (r rule) describe() string {
	switch r.kind {
	case "name":
		return "lower-case letters, digits and hyphens, 1 to 63 characters"
	case "address":
		return "an IP address and port such as 10.0.0.7:8080"
	case "addresses":
		return "IP addresses with ports such as 10.0.0.7:8080"
	case "length":
		return fmt.Sprintf("%d to %d characters", r.minInt, r.maxInt)
	case "number":
		return fmt.Sprintf("%g to %g", r.minNumber, r.maxNumber)
	case "range":
		return fmt.Sprintf("%d to %d", r.minInt, r.maxInt)
	case "oneof":
		return strings.Join(r.options, ", ")
	case "boolean":
		return "true, false"
	}
	return ""
}

// violation reports whether the rule rejects a value. If so, it also returns the text of the rejected value for error
// messages; for a length, that is the length alone, because the value may be a secret.
func (r rule) violation(value reflect.Value) (string, bool) {
	switch r.kind {
	case "name":
		return value.String(), !namePattern.MatchString(value.String())
	case "address":
		return value.String(), !isAddrPort(value.String())
	case "addresses":
		for i := range value.Len() {
			if text := value.Index(i).String(); !isAddrPort(text) {
				return text, true
			}
		}
	case "length":
		n := len(value.String())
		return fmt.Sprintf("(%d characters)", n), n < r.minInt || n > r.maxInt
	case "range":
		n := int(value.Int())
		return strconv.Itoa(n), n < r.minInt || n > r.maxInt
	case "number":
		n := value.Float()
		return strconv.FormatFloat(n, 'g', -1, 64), !(n >= r.minNumber && n <= r.maxNumber)
	case "oneof":
		return value.String(), !slices.Contains(r.options, value.String())
	}
	return "", false
}

// isAddrPort reports whether text is an IP address with a port other than 0.
func isAddrPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
