// Package discovery declares the interface to the platform's store, through which instances read the configurations and
// the records of targets, and find the other members of the fleet.
package discovery

import (
	"context"
	"fmt"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// Store is the platform's store. Implementations are safe for concurrent use, and each call returns within a bounded
// time even if the context has no deadline. A call whose answer is of an earlier era than another answer before it fails with
// an OutdatedAnswerError.
type Store interface {
	// Era returns the newest known era, 0 if none is known.
	Era() int64
	// LearnEra tells an era that another instance knows of.
	LearnEra(era int64)
	// NewestConfig returns the newest records of the operator and the position to read on from. There is at most one
	// configuration, and all evacuations in force are listed.
	NewestConfig(ctx context.Context) (OperatorRecords, topic.Position, error)
	// ConfigsSince returns the records of the operator from a position on and the position to read on from. The error wraps a
	// TrimmedError if records from that position on are not available.
	ConfigsSince(ctx context.Context, from topic.Position) (OperatorRecords, topic.Position, error)
	// NewestTargets returns the newest record of each target and the position to read on from.
	NewestTargets(ctx context.Context) ([]registry.Change, topic.Position, error)
	// TargetsSince returns the records of targets from a position on and the position to read on from. The error wraps a
	// TrimmedError if records from that position on are not available.
	TargetsSince(ctx context.Context, from topic.Position) ([]registry.Change, topic.Position, error)
	// Members returns the announced members.
	Members(ctx context.Context) ([]Member, error)
	// Announce stores a member under its id.
	Announce(ctx context.Context, m Member) error
	// CrashMarks returns the stored crash marks.
	CrashMarks(ctx context.Context) ([]CrashMark, error)
	// PutCrashMark stores a crash mark under its key, or deletes it if it has no data.
	PutCrashMark(ctx context.Context, mark CrashMark) error
	// CreditOwner returns the newest record of an owner of the shared limits, nil if there is none, and the position behind it.
	CreditOwner(ctx context.Context) (*credit.OwnerRecord, topic.Position, error)
	// PutCreditOwner appends a record of an owner if the topic ends at a position, and returns the position behind the record. The
	// error wraps a ConflictError if the topic ends elsewhere. A call without an answer may be executed later, if the topic then
	// ends at the position.
	PutCreditOwner(ctx context.Context, record credit.OwnerRecord, at topic.Position) (topic.Position, error)
}

// OperatorRecords are records that the operator wrote, in the order of the store.
type OperatorRecords struct {
	Configs     []*routes.Config
	Evacuations []Evacuation
	// Complete is true if the records are the newest ones of all keys, so that a zone without a record is not evacuated.
	Complete bool
}

// Evacuation is a record of the operator that evacuates a zone, or that ends the evacuation.
type Evacuation struct {
	Zone string
	// Active is false for a record that ends the evacuation.
	Active bool
	// Position is the position of the record.
	Position topic.Position
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

// TrimmedError is returned for a position from which on the store has no records: they were deleted, or the store was restored
// from an older copy. The newest records have to be listed instead.
type TrimmedError struct {
	Topic string
	From  topic.Position
	// Era is the era of the answer.
	Era int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: era %d has no records from offset %d of era %d on", e.Topic, e.Era, e.From.Offset, e.From.Era)
}

// OutdatedAnswerError is returned for an answer of an earlier era than one before it.
type OutdatedAnswerError struct{ Era, Newest int64 }

func (e *OutdatedAnswerError) Error() string {
	return fmt.Sprintf("the answer is of era %d of the store, before era %d", e.Era, e.Newest)
}

// ConflictError is returned for an append at a position at which the topic does not end.
type ConflictError struct {
	Topic string
	// At is the requested position, and End the position at which the topic ends.
	At, End topic.Position
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s: ends at offset %d of era %d, not at offset %d of era %d", e.Topic, e.End.Offset, e.End.Era, e.At.Offset, e.At.Era)
}
