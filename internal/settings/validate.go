package settings

import "net/netip"

// Validate returns the first setting that is not accepted as *Error. File names the source.
func (s *Settings) Validate(file string) error {
	for _, field := range s.fields() {
		if value, refused := field.rule.check(field.value); refused {
			return &Error{file, field.Key, value, field.Accepted}
		}
	}
	return s.validateListen(file)
}

// validateListen refuses two listeners that cannot be open at once.
func (s *Settings) validateListen(file string) error {
	listeners := []struct{ key, address string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.admin", s.Listen.Admin},
		{"listen.peer", s.Listen.Peer},
	}
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
