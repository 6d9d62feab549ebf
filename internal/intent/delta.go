package intent

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/basillink/basillink/internal/logservice"
)

// Delta holds what changed in a state between the offsets After and Through. The revision of an accepted change is its
// offset, so the entries and removals with a revision above After have the same effect as the records in between.
type Delta struct {
	After     logservice.Offset            `json:"after"`
	Through   logservice.Offset            `json:"through"`
	Revision  logservice.Offset            `json:"revision"`
	Services  map[string]*Entry            `json:"services"`
	Removed   map[string]logservice.Offset `json:"removed"`
	Forgotten logservice.Offset            `json:"forgotten"`
	// Digest is the digest of the whole state at Through.
	Digest string `json:"digest"`
}

// Delta returns the changes after an offset. If removals after that offset were already forgotten, the delta holds the
// whole state and its After is 0. If s left out changes of a newer format, the delta is empty and merging it has no effect.
func (s *State) Delta(after logservice.Offset) *Delta {
	if len(s.LeftOut) > 0 {
		return &Delta{}
	}
	if after < s.Forgotten {
		after = 0
	}
	d := &Delta{
		After:     after,
		Through:   s.Through,
		Revision:  s.Revision,
		Services:  map[string]*Entry{},
		Removed:   map[string]logservice.Offset{},
		Forgotten: s.Forgotten,
		Digest:    s.Digest(),
	}
	for name, entry := range s.Services {
		if entry.Revision > after {
			d.Services[name] = entry
		}
	}
	for name, revision := range s.Removed {
		if revision > after {
			d.Removed[name] = revision
		}
	}
	return d
}

// Encode returns the delta as JSON. Equal deltas have equal encodings.
func (d *Delta) Encode() ([]byte, error) { return json.Marshal(d) }

// DecodeDelta decodes a delta written by Encode. It returns a *RecordError for malformed data.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &RecordError{Detail: "delta: " + err.Error()}
	}
	return &d, nil
}

// Merge applies a delta and reports whether it advanced the state. A delta that ends at or before Through, or that
// starts after it, has no effect. If the result does not have the digest of the sender's state, Merge returns a
// *RecordError and leaves s as it was.
func (s *State) Merge(d *Delta) (bool, error) {
	if d.Through <= s.Through || d.After > s.Through {
		return false, nil
	}
	merged := s.Clone()
	if d.After == 0 {
		merged = NewState()
	}
	for name, revision := range d.Removed {
		delete(merged.Services, name)
		merged.Removed[name] = revision
	}
	for name, entry := range d.Services {
		if entry == nil {
			return false, &RecordError{Detail: fmt.Sprintf("delta: entry of service %q is null", name)}
		}
		delete(merged.Removed, name)
		merged.Services[name] = entry
	}
	maps.DeleteFunc(merged.Removed, func(_ string, revision logservice.Offset) bool { return revision <= d.Forgotten })
	merged.Through, merged.Revision, merged.Forgotten = d.Through, d.Revision, d.Forgotten
	if digest := merged.Digest(); digest != d.Digest {
		return false, &RecordError{Detail: "delta: digest of the merged state is " + digest + ", the delta has " + d.Digest}
	}
	// The sender left out no change and the digests are equal, so the changes that were left out here are included.
	merged.LeftOut = nil
	*s = *merged
	return true, nil
}
