// Package credit shares limits on requests between all instances, such as the quota of a workspace or the rate that a cold
// target tolerates. One instance at a time, the owner, holds a ledger with a token bucket for each limit. It proves its
// ownership by a lease in the platform's store. The other instances acquire credits from the owner and spend them within a
// bounded time. An instance that does not reach the owner has no credit.
//
// The package makes decisions only: it reads no clock, opens no connection and starts no goroutine of its own, except in Pool,
// where requests wait.
package credit

import (
	"context"
	"fmt"
	"time"
)

// Kind is the kind of a shared limit.
type Kind uint8

// Kinds of limits.
const (
	// WorkspaceQuota limits the requests of a workspace. The name is that of the workspace.
	WorkspaceQuota Kind = iota
	// ColdTarget limits the requests to a cold target. The name is the id of the target.
	ColdTarget
	// NumKinds is the number of kinds.
	NumKinds
)

// kindNames are values of a metric label, in the order of the kinds.
var kindNames = [NumKinds]string{"workspace_quota", "cold_target"}

func (k Kind) String() string {
	if k >= NumKinds {
		return "unknown"
	}
	return kindNames[k]
}

// Key names a shared limit. It is encoded in datagrams.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Name string
}

func (k Key) String() string { return fmt.Sprintf("%s/%s", k.Kind, k.Name) }

// Limit is the size of a shared limit: a number of requests per second, and the number that may be saved up. It is encoded in
// datagrams.
type Limit struct {
	_           struct{} `cbor:",toarray"`
	Rate, Burst float64
	// Version is the version of the configuration that sets the limit. A ledger uses the limit of the highest version that it
	// heard of.
	Version uint64
}

// NewLimit returns a limit of a configuration. One that is too large to compute with becomes the largest limit.
func NewLimit(rate, burst float64, version uint64) Limit {
	return Limit{Rate: min(rate, maxRate), Burst: min(burst, maxBurst), Version: version}
}

// Bounds are what the platform tolerates beyond a limit, which covers credits that are spent later than they were debited.
type Bounds struct {
	// Window is the length of the window in which requests are counted.
	Window time.Duration
	// Overage is the share by which a window may exceed Rate x Window + Burst, and Slack the number of requests in addition.
	Overage, Slack float64
}

// Grant is one credit. The zero value is a grant that needs no credit.
type Grant struct {
	Key Key
	// ExpiresAt is the time, since the start of the process, until which the credit may be spent. It is counted from the
	// moment at which the owner was asked.
	ExpiresAt time.Duration
	// ReturnBy is the time until which the credit can go back without being lost. A request that waits longer gives it back and
	// acquires another one.
	ReturnBy time.Duration
	// ID identifies the credit at the source that handed it out, so that it goes back at most once.
	ID uint64
}

// Denial says why there is no credit.
type Denial struct {
	// Unavailable is true if the owner is unknown or did not answer, and false if the limit is used up.
	Unavailable bool
	// RetryAfter is the time after which credit is expected.
	RetryAfter time.Duration
}

// Source hands out credits. It is safe for concurrent use.
type Source interface {
	// Acquire returns one credit, or a denial. It waits for the owner's answer for a bounded time, some tens of milliseconds, and
	// not longer than the context.
	Acquire(ctx context.Context, key Key, limit Limit) (Grant, *Denial)
	// Return gives back the credit of a request that provably did not run. Only the first call for a grant has an effect.
	Return(grant Grant)
}
