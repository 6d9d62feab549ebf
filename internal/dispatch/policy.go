// Package dispatch decides which target receives a request, which requests wait for a free slot, and which are refused.
// It needs no network: readings of load, ends of requests and the time are passed in.
//
// Patterns it answers: targets whose speed changes within milliseconds because they share machines, targets that slow down
// when they are nearly full, bursts beyond the capacity, and targets that fail while they report good health.
package dispatch

import "time"

// Policy holds the tunable figures of the decisions.
type Policy struct {
	// UsableShare is the share of a target's slots that is filled before requests wait.
	UsableShare float64
	// WarmupFactor is how much longer work takes on a target that has just started.
	WarmupFactor float64
	// WaitShare is the share of a route's latency objective that a request may wait for a slot.
	WaitShare float64
	// ZoneCrossing is what makes a target of another zone equal to one of this zone, per KB that the exchange carries, as a
	// share of the route's latency objective. Bytes between zones are paid for.
	CrossZoneCost float64
	// ReadingLifetime is how long a reading of a target's load is trusted.
	ReportLifetime time.Duration
	// ConnectionLifetime is how long an unused connection to a target is kept.
	ConnectionLifetime time.Duration
	// RetryRatio bounds the requests that are sent to a further target by the requests of the service, and RetryExtra is
	// the number that all instances together may send beyond it.
	RetryRatio float64
	RetryExtra float64
	// RetryWindow is the time over which the bounds on retries hold.
	RetryWindow time.Duration
}

// DefaultPolicy returns the figures for the workloads in docs/CAPACITY.md.
func DefaultPolicy() Policy {
	return Policy{
		UsableShare:        1,
		WarmupFactor:       2,
		WaitShare:          0.45,
		CrossZoneCost:      0.1,
		ReportLifetime:     250 * time.Millisecond,
		ConnectionLifetime: 6 * time.Second,
		RetryRatio:         0.15,
		RetryExtra:         40,
		RetryWindow:        10 * time.Second,
	}
}
