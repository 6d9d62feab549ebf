package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/operator"
)

// Entry is one service in force.
type Entry struct {
	// Revision is the offset of the accepted change.
	Revision platform.Offset  `json:"revision"`
	ChangeID string           `json:"change_id"`
	Author   string           `json:"author"`
	Spec     operator.Service `json:"spec"`
}

// State is the configuration after folding all records through an offset. It is not safe for
// concurrent modification; Clone gives a copy that may be shared for reading.
type State struct {
	// Through is the offset of the last folded record.
	Through platform.Offset `json:"through"`
	// Revision is the offset of the last accepted change.
	Revision platform.Offset   `json:"revision"`
	Services map[string]*Entry `json:"services"`
	// Removed holds the revisions at which services were removed.
	Removed map[string]platform.Offset `json:"removed"`
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{Services: map[string]*Entry{}, Removed: map[string]platform.Offset{}}
}

// Verdict is the decision on a change.
type Verdict string

// Verdicts.
const (
	Accepted Verdict = "accepted"
	// Conflict means that the change was not made on the current revision of the service.
	Conflict Verdict = "conflict"
	// Duplicate means that the change was already accepted.
	Duplicate Verdict = "duplicate"
	// Malformed means that the record or its spec is invalid.
	Malformed Verdict = "malformed"
	// NotAChange means that the record is of another kind.
	NotAChange Verdict = "not_a_change"
)

// Decision is the result of folding one record.
type Decision struct {
	Offset  platform.Offset
	Verdict Verdict
	Change  *Change
	// Current is the revision of the service before the change.
	Current platform.Offset
	// Err is the cause of Malformed.
	Err error
}

// Apply folds the next record. Records at or below Through are ignored.
func (s *State) Apply(r platform.Record) Decision {
	if r.Offset <= s.Through {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	s.Through = r.Offset
	record, err := DecodeRecord(r.Payload)
	if err != nil {
		return Decision{Offset: r.Offset, Verdict: Malformed, Err: err}
	}
	if record.Kind != KindChange {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	return s.applyChange(r.Offset, record.Change)
}

func (s *State) applyChange(offset platform.Offset, c *Change) Decision {
	d := Decision{Offset: offset, Change: c, Current: s.Current(c.Service)}
	entry := s.Services[c.Service]
	switch {
	case entry != nil && entry.ChangeID == c.ID:
		d.Verdict = Duplicate
		return d
	case c.Base != d.Current:
		d.Verdict = Conflict
		return d
	case c.Spec == "":
		delete(s.Services, c.Service)
		s.Removed[c.Service] = offset
	default:
		spec, err := c.decodeSpec()
		if err != nil {
			d.Verdict, d.Err = Malformed, err
			return d
		}
		delete(s.Removed, c.Service)
		s.Services[c.Service] = &Entry{Revision: offset, ChangeID: c.ID, Author: c.Author, Spec: *spec}
	}
	s.Revision = offset
	d.Verdict = Accepted
	return d
}

// Current returns the revision of a service, 0 if it never existed.
func (s *State) Current(service string) platform.Offset {
	if entry := s.Services[service]; entry != nil {
		return entry.Revision
	}
	return s.Removed[service]
}

// Names returns the names of the services in order.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.Services)) }

// Clone returns a copy. Entries are shared because they are never modified in place.
func (s *State) Clone() *State {
	return &State{Through: s.Through, Revision: s.Revision, Services: maps.Clone(s.Services), Removed: maps.Clone(s.Removed)}
}

// Digest identifies the services and their revisions independently of Through.
func (s *State) Digest() string {
	data, err := json.Marshal(struct {
		Services map[string]*Entry
		Removed  map[string]platform.Offset
	}{s.Services, s.Removed})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
