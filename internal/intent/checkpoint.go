package intent

import (
	"bytes"
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/logservice"
)

// Checkpoint is the content of a log record that holds the complete state through an offset, so that a reader can
// continue from it when earlier records are no longer retained.
type Checkpoint struct {
	State  *State `json:"state"`
	Digest string `json:"digest"`
	// AtMS is the writer's wall clock in Unix milliseconds. It is used only to estimate the age of the checkpoint.
	AtMS int64 `json:"at_ms"`
}

// NewCheckpoint returns a checkpoint of a copy of s. The argument at is the current wall-clock time.
func NewCheckpoint(s *State, at time.Time) *Checkpoint {
	return &Checkpoint{State: s.Clone(), Digest: s.Digest(), AtMS: at.UnixMilli()}
}

// Verify returns a *RecordError if the checkpoint has no state or its digest does not match the state.
func (c *Checkpoint) Verify() error {
	if c.State == nil || c.State.Services == nil || c.State.Removed == nil {
		return &RecordError{Detail: "checkpoint without state"}
	}
	if digest := c.State.Digest(); digest != c.Digest {
		return &RecordError{Detail: fmt.Sprintf("checkpoint digest %q, its state has %q", c.Digest, digest)}
	}
	return nil
}

// IsCheckpoint reports, without decoding it, whether a payload written by Encode holds a checkpoint. It misses a
// checkpoint whose fields are in another order. That is harmless: Fold does not call IsCheckpoint, and the only effect
// is that a further checkpoint is appended.
func IsCheckpoint(payload []byte) bool {
	return bytes.HasPrefix(payload, []byte(`{"kind":"checkpoint"`))
}

// usableCheckpoint returns the checkpoint in r. It returns nil if r holds none, if the checkpoint is invalid, or if a
// record after its state is no longer retained, which earliest tells.
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
