package workspace

import "time"

// validityShare is the share of the time for revoking a key for which an instance relies on the keys that it knows. The rest is
// for what the age of a configuration leaves out: a peer tells the age in a datagram, which takes time to arrive and may wait in
// a socket, for at most 0.3 s until that is noticed.
const validityShare = 0.85

// Validity returns how old the knowledge of an instance may be when it sends a request with a key, where a key that was taken away
// must not run a request any more after a time.
func Validity(revocation time.Duration) time.Duration {
	return time.Duration(validityShare * float64(revocation))
}

// Freshness tells whether an instance may rely on the keys of its configuration.
type Freshness struct {
	// AsOf returns the latest time at which the configuration in force is known to have been the newest one. It returns false
	// while that is unknown. If it is nil, the keys are never current.
	AsOf func() (asOf time.Duration, known bool)
	// Validity is how long the keys are relied on after that time.
	Validity time.Duration
}

// IsCurrent reports whether the keys may be relied on at a time. It must be called before the configuration is loaded: one that
// is loaded before may be older than the time that AsOf returns.
func (f Freshness) IsCurrent(now time.Duration) bool {
	if f.AsOf == nil {
		return false
	}
	asOf, known := f.AsOf()
	return known && now-asOf < f.Validity
}
