// Package logservice declares the interfaces of the services that the platform
// provides, an append-only log and a list of instances, and their HTTP clients.
package logservice

import (
	"context"
	"time"
)

// Offset is the position of a record in the log. The first record has offset 1.
type Offset uint64

// Record is one record of the log.
type Record struct {
	Offset  Offset `json:"offset"`
	Payload []byte `json:"payload"`
}

// Page is a contiguous range of records, with the state of the log at the time of the read.
type Page struct {
	Records []Record `json:"records"`
	// Earliest is the offset of the oldest retained record, or Next if no record is retained.
	Earliest Offset `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next Offset `json:"next"`
	// Retention is how long the log keeps a record.
	Retention time.Duration `json:"retention_ns"`
}

// Log is the platform's append-only log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record. After an error the record may or may not have been added.
	Append(ctx context.Context, payload []byte) (Offset, error)
	// Read returns up to max records, starting with the one at offset from. If there is none yet, it waits for one for at
	// most wait, and then returns an empty page.
	Read(ctx context.Context, from Offset, max int, wait time.Duration) (Page, error)
}

// ListedState is the state of an instance or target in the platform's list.
type ListedState string

// Values of ListedState.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedInstance is one entry of the platform's list, which may be out of date. It describes an instance of basillink
// or, if TargetAddress is set, a target.
type ListedInstance struct {
	ID           string      `json:"id"`
	Zone         string      `json:"zone"`
	PeerAddress  string      `json:"peer_address"`
	AdminAddress string      `json:"admin_address"`
	State        ListedState `json:"state"`
	// TargetAddress is the address at which a target serves requests. It is empty for an instance.
	TargetAddress string `json:"target_address,omitempty"`
	// Incarnation identifies the process of a target. It is empty if the platform does not know it.
	Incarnation string `json:"incarnation,omitempty"`
}

// InstanceList is the platform's list of instances and targets. Implementations are safe for concurrent use.
type InstanceList interface {
	// Instances returns all entries of the list.
	Instances(ctx context.Context) ([]ListedInstance, error)
}
