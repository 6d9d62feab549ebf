package settings

import "net/netip"

// Validate returns the first setting that is not accepted as *Error. File names the source.
func (s *Settings) Validate(file string) error {
	if err := checkFields(file, s); err != nil {
		return err
	}
	return s.validateListen(file)
}

// checkFields returns the first value of a document that its rule refuses.
func checkFields(file string, document any) error {
	for _, field := range fieldsOf(document) {
		if value, refused := field.rule.check(field.value); refused {
			return &Error{file, field.Key, value, field.Accepted}
		}
	}
	return nil
}

// validateListen refuses two listeners that cannot be open at once.
func (s *Settings) validateListen(file string) error {
	return separate(file, []listener{
		{"listen.caller", s.Listen.Caller},
		{"listen.admin", s.Listen.Admin},
		{"listen.peer", s.Listen.Peer},
	})
}

// listener is a setting that holds the address of a listener.
type listener struct{ key, address string }

// separate refuses listeners that overlap.
func separate(file string, listeners []listener) error {
	for i, listener := range listeners {
		for _, other := range listeners[:i] {
			if overlap(listener.address, other.address) {
				return &Error{file, listener.key, listener.address, "an address that differs from " + other.key}
			}
		}
	}
	return nil
}

// overlap reports whether two valid addresses share a port and either an IP address or a wildcard.
func overlap(a, b string) bool {
	first, second := netip.MustParseAddrPort(a), netip.MustParseAddrPort(b)
	if first.Port() != second.Port() {
		return false
	}
	x, y := first.Addr().Unmap(), second.Addr().Unmap()
	return x == y || x.IsUnspecified() || y.IsUnspecified()
}
