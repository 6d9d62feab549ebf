package intent

import (
	"fmt"

	"github.com/basillink/basillink/internal/platform"
)

// Checkpoint is a log record that holds the whole state through an offset.
type Checkpoint struct {
	State  *State `json:"state"`
	Digest string `json:"digest"`
}

// NewCheckpoint returns a checkpoint of the state.
func NewCheckpoint(s *State) *Checkpoint {
	return &Checkpoint{State: s.Clone(), Digest: s.Digest()}
}

// Verify checks the digest.
func (c *Checkpoint) Verify() error {
	if c.State == nil || c.State.Services == nil || c.State.Removed == nil {
		return &RecordError{Detail: "checkpoint without state"}
	}
	if digest := c.State.Digest(); digest != c.Digest {
		return &RecordError{Detail: fmt.Sprintf("checkpoint digest %q, its state has %q", c.Digest, digest)}
	}
	return nil
}

// GapError reports that records between the state and the retained log are lost and no checkpoint covers them.
type GapError struct {
	Have     platform.Offset
	Earliest platform.Offset
}

func (e *GapError) Error() string {
	return fmt.Sprintf("log: records from %d to %d are no longer retained and no checkpoint covers them", e.Have+1, e.Earliest-1)
}

// Recover returns the state to continue from when the log retains records from earliest on. Records are the
// retained records from earliest on, in order. A checkpoint serves only if every record after its state is retained.
func Recover(s *State, earliest platform.Offset, records []platform.Record) (*State, error) {
	if earliest <= s.Through+1 {
		return s, nil
	}
	for _, r := range records {
		checkpoint := usableCheckpoint(r, earliest)
		if checkpoint != nil && checkpoint.State.Through > s.Through {
			return checkpoint.State.Clone(), nil
		}
	}
	return nil, &GapError{Have: s.Through, Earliest: earliest}
}

func usableCheckpoint(r platform.Record, earliest platform.Offset) *Checkpoint {
	record, err := DecodeRecord(r.Payload)
	if err != nil || record.Kind != KindCheckpoint {
		return nil
	}
	checkpoint := record.Checkpoint
	if checkpoint.Verify() != nil || checkpoint.State.Through >= r.Offset || checkpoint.State.Through+1 < earliest {
		return nil
	}
	return checkpoint
}
