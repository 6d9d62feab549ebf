package settings

import "net/netip"

// Validate returns an *Error for the first setting that is not accepted. The argument file names the source.
func (s *Settings) Validate(file string) error {
	if err := validateFields(file, s); err != nil {
		return err
	}
	return s.validateListen(file)
}

// validateFields returns an *Error for the first value of a document that its rule rejects.
func validateFields(file string, document any) error {
	for _, field := range fieldsOf(document) {
		if value, rejected := field.rule.violation(field.value); rejected {
			return &Error{file, field.Key, value, field.Accepted}
		}
	}
	return nil
}

// validateListen returns an *Error if the addresses of two listeners overlap.
func (s *Settings) validateListen(file string) error {
	return checkOverlaps(file, []listener{
		{"listen.caller", s.Listen.Caller},
		{"listen.admin", s.Listen.Admin},
		{"listen.peer", s.Listen.Peer},
	})
}

// listener is the key and the value of a setting that holds the address of a listener.
type listener struct{ key, address string }

// checkOverlaps returns an *Error for the first listener whose address overlaps with that of an earlier one.
func checkOverlaps(file string, listeners []listener) error {
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if addressesOverlap(listener.address, other.address) {
				return &Error{file, listener.key, listener.address, "an address that differs from " + other.key}
			}
		}
	}
	return nil
}

// addressesOverlap reports whether two listeners cannot be open at the same time: their ports are equal, and their IP
// addresses are equal or one of them is a wildcard. It panics if an address is invalid.
func addressesOverlap(a, b string) bool {
	first, second := netip.MustParseAddrPort(a), netip.MustParseAddrPort(b)
	if first.Port() != second.Port() {
		return false
	}
	x, y := first.Addr().Unmap(), second.Addr().Unmap()
	return x == y || x.IsUnspecified() || y.IsUnspecified()
}
