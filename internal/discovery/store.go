// Package discovery declares what an instance reads from and keeps in the platform's store: configurations, the records
// of targets, and the members of the fleet.
package discovery

import (
	"context"
	"fmt"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// Store is the platform's store. Implementations are safe for concurrent use; every call ends by itself. Offsets number
// the records of a topic.
type Store interface {
	// NewestConfig returns the configuration in force, or nil before the first, and the offset to read on from.
	NewestConfig(ctx context.Context) (*routes.Config, int64, error)
	// ConfigsSince returns the configurations from an offset on, and the offset to read on from.
	ConfigsSince(ctx context.Context, from int64) ([]*routes.Config, int64, error)
	// NewestTargets returns the newest record of each target and the offset to read on from.
	NewestTargets(ctx context.Context) ([]registry.Change, int64, error)
	// TargetsSince returns the records from an offset on, and the offset to read on from.
	TargetsSince(ctx context.Context, from int64) ([]registry.Change, int64, error)
	// Members returns the announced members.
	Members(ctx context.Context) ([]Member, error)
	// Announce keeps a member in the store under its id.
	Announce(ctx context.Context, m Member) error
	// CrashMarks returns the kept marks of requests that crash targets.
	CrashMarks(ctx context.Context) ([]CrashMark, error)
	// PutCrashMark keeps a mark under its key, or drops it if it has no data.
	PutCrashMark(ctx context.Context, mark CrashMark) error
}

// CrashMark is what is known of a request that crashes targets. The ingress writes and reads it.
type CrashMark struct {
	Key  string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Member is an announced instance.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address receives the datagrams of peers.
	Address string `json:"address"`
	// Capacity orders the instances of a zone: stronger ones do the work for all.
	Capacity int `json:"capacity,omitempty"`
	// Fleet is the number of live instances when the member was announced, 0 if it was not known.
	Fleet int `json:"fleet,omitempty"`
	// Started is the start of the process as Unix time in ns. It orders incarnations of one instance.
	Started int64 `json:"started"`
}

// TrimmedError reports that records from an offset on are no longer kept. The newest records have to be listed.
type TrimmedError struct {
	Topic string
	From  int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records from %d on are no longer kept", e.Topic, e.From)
}
