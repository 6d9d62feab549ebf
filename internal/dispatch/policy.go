// Package dispatch decides which target receives a request, which requests wait for a free slot, and which are refused.
// It does no I/O: load reports, the results of exchanges and the time are passed in.
//
// It is designed for targets whose speed changes within milliseconds because they share hosts with other processes,
// targets that slow down when they are nearly full, bursts beyond the capacity, and targets that fail requests while they
// report good health.
package dispatch

import "time"

// Policy holds the tunable parameters of the decisions.
type Policy struct {
	// UsableShare is the share of a target's slots that is filled before requests wait.
	UsableShare float64
	// WarmupFactor is how many times longer work takes on a target that has just started.
	WarmupFactor float64
	// WaitShare is the largest share of a route's latency objective that a request may wait for a slot.
	WaitShare float64
	// CrossZoneCost is the cost of sending a request to another zone, as a share of the route's latency objective per KB
	// (1024 bytes) that the exchange carries. Traffic between zones is billed by the byte.
	CrossZoneCost float64
	// ReportLifetime is the age up to which a load report is taken as exact.
	ReportLifetime time.Duration
	// ConnectionLifetime is how long an unused connection to a target is kept open.
	ConnectionLifetime time.Duration
	// RetryRatio limits retries on further targets to a share of the service's requests. RetryExtra is the number of
	// retries that all instances together may send beyond that in each RetryWindow.
	RetryRatio float64
	RetryExtra float64
	// RetryWindow is the time over which the limits on retries hold.
	RetryWindow time.Duration
}

// DefaultPolicy returns the policy for the workloads in docs/CAPACITY.md.
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
