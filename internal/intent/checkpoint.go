package intent

import (
	"bytes"
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

// Checkpoint is a log record that holds the whole state through an offset.
type Checkpoint struct {
	State  *State `json:"state"`
	Digest string `json:"digest"`
	// AtMS is the writer's wall clock in Unix milliseconds. It only serves to judge the checkpoint's age.
	AtMS int64 `json:"at_ms"`
}

// NewCheckpoint returns a checkpoint of the state, written at a wall-clock time.
func NewCheckpoint(s *State, at time.Time) *Checkpoint {
	return &Checkpoint{State: s.Clone(), Digest: s.Digest(), AtMS: at.UnixMilli()}
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

// IsCheckpoint reports without decoding whether a payload that Encode wrote holds a checkpoint. The fold does not rely
// on it: a checkpoint with another order of fields only looks as if there were none, and a further one is appended.
func IsCheckpoint(payload []byte) bool {
	return bytes.HasPrefix(payload, []byte(`{"kind":"checkpoint"`))
}

func usableCheckpoint(r logservice.Record, earliest logservice.Offset) *Checkpoint {
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
