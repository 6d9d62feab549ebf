package intent

import (
	"encoding/json"
	"maps"

	"github.com/basillink/basillink/internal/logservice"
)

// Delta holds what changed in a state after an offset. Because every accepted change gets its offset as its
// revision, the entries with a later revision and the removals are all that a reader of the records between
// would have changed.
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

// Delta returns what changed after an offset. A reader that is older than forgotten removals gets the whole
// state: After is 0. A state that lacks a change of a newer format has nothing to offer, and its delta moves no reader.
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

// Encode returns the same bytes for the same delta.
func (d *Delta) Encode() ([]byte, error) { return json.Marshal(d) }

// DecodeDelta decodes a delta.
func DecodeDelta(data []byte) (*Delta, error) {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &RecordError{Detail: "delta: " + err.Error()}
	}
	return &d, nil
}

// Merge applies a delta and reports whether it moved the state forward. A delta that does not reach beyond the
// state, or that starts after it, changes nothing. The result must have the digest of the sender's state.
func (s *State) Merge(d *Delta) (bool, error) {
	if d.Through <= s.Through || d.After > s.Through {
		return false, nil
	}
	next := s.Clone()
	if d.After == 0 {
		next = NewState()
	}
	for name, revision := range d.Removed {
		delete(next.Services, name)
		next.Removed[name] = revision
	}
	for name, entry := range d.Services {
		if entry == nil {
			return false, &RecordError{Detail: "delta with an empty entry"}
		}
		delete(next.Removed, name)
		next.Services[name] = entry
	}
	maps.DeleteFunc(next.Removed, func(_ string, revision logservice.Offset) bool { return revision <= d.Forgotten })
	next.Through, next.Revision, next.Forgotten = d.Through, d.Revision, d.Forgotten
	if digest := next.Digest(); digest != d.Digest {
		return false, &RecordError{Detail: "the state after a delta has the digest " + digest + ", not " + d.Digest}
	}
	// The sender lacks no change, and the digests are equal, so that what was left out here made no difference.
	next.LeftOut = nil
	*s = *next
	return true, nil
}
