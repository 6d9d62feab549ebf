// Package discovery declares the interface to the platform's store, through which instances read the configurations and
// the records of targets, and find the other members of the fleet.
package discovery

import (
	"context"
	"fmt"

	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// Store is the platform's store. Implementations are safe for concurrent use, and each call returns within a bounded
// time even if the context has no deadline. Offsets number the records of a topic.
type Store interface {
	// NewestConfig returns the configuration in force, or nil if there is none yet, and the offset to read on from.
	NewestConfig(ctx context.Context) (*routes.Config, int64, error)
	// ConfigsSince returns the configurations from an offset on and the offset to read on from. The error wraps a
	// TrimmedError if records from that offset on are no longer available.
	ConfigsSince(ctx context.Context, from int64) ([]*routes.Config, int64, error)
	// NewestTargets returns the newest record of each target and the offset to read on from.
	NewestTargets(ctx context.Context) ([]registry.Change, int64, error)
	// TargetsSince returns the records of targets from an offset on and the offset to read on from. The error wraps a
	// TrimmedError if records from that offset on are no longer available.
	TargetsSince(ctx context.Context, from int64) ([]registry.Change, int64, error)
	// Members returns the announced members.
	Members(ctx context.Context) ([]Member, error)
	// Announce stores a member under its id.
	Announce(ctx context.Context, m Member) error
	// CrashMarks returns the stored crash marks.
	CrashMarks(ctx context.Context) ([]CrashMark, error)
	// PutCrashMark stores a crash mark under its key, or deletes it if it has no data.
	PutCrashMark(ctx context.Context, mark CrashMark) error
}

// CrashMark is the record of a request that crashes targets. The data is written and read by package ingress.
type CrashMark struct {
	Key  string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Member is an announced instance.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is the host and port at which the instance receives datagrams and calls of peers.
	Address string `json:"address"`
	// Capacity is the processor capacity of the instance in thousandths of a core. Members with more capacity are
	// preferred for work that one instance does for its whole zone.
	Capacity int `json:"capacity,omitempty"`
	// Fleet is the number of live instances when the member was announced, 0 if unknown.
	Fleet int `json:"fleet,omitempty"`
	// Started is the start of the process in Unix nanoseconds. It orders the incarnations of one instance.
	Started int64 `json:"started"`
}

// TrimmedError is returned for an offset from which on records are no longer available. The newest records have to be
// listed instead.
type TrimmedError struct {
	Topic string
	From  int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records from offset %d on are no longer available", e.Topic, e.From)
}
