package intent

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// Entry is a service in force. It must not be modified after it was added to a State.
type Entry struct {
	// Revision is the offset of the change that put this spec into force.
	Revision logservice.Offset `json:"revision"`
	ChangeID string            `json:"change_id"`
	Author   string            `json:"author"`
	Spec     operator.Service  `json:"spec"`
	// encoded caches the JSON of the entry for State.Digest.
	encoded atomic.Pointer[[]byte]
}

// encode returns the JSON of the entry. It is safe for concurrent use: entries are immutable, so goroutines that encode
// the same entry at the same time cache the same bytes.
func (e *Entry) encode() ([]byte, error) {
	if e == nil {
		return json.Marshal(e)
	}
	if cached := e.encoded.Load(); cached != nil {
		return *cached, nil
	}
	data, err := json.Marshal(e)
	if err == nil {
		e.encoded.Store(&data)
	}
	return data, err
}

// Limits of a state. All instances must use the same limits, otherwise they would disagree on which changes are accepted.
const (
	// MaxServices is the maximum number of services in force. 130 are expected within two years.
	MaxServices = 1024
	// MaxRemoved is the maximum number of entries in State.Removed.
	MaxRemoved = 1024
	// MaxSpecBytes is the maximum size of the spec of one service. It is enough for 4,000 targets.
	MaxSpecBytes = 512 << 10
)

// State is the configuration after all records through an offset were applied.
//
// A State is not safe for concurrent use while one goroutine calls Apply or Merge. To share it, pass a Clone to the
// other goroutines: the clone has its own maps and the entries are immutable, so no lock is needed.
type State struct {
	// Through is the offset of the last applied record.
	Through logservice.Offset `json:"through"`
	// Revision is the offset of the last accepted change.
	Revision logservice.Offset `json:"revision"`
	Services map[string]*Entry `json:"services"`
	// Removed holds the revisions of the last MaxRemoved removals by service.
	Removed map[string]logservice.Offset `json:"removed"`
	// Forgotten is the highest revision that was evicted from Removed. It counts as the current revision of every service
	// that is neither in force nor in Removed, so that no change with an outdated base is accepted.
	Forgotten logservice.Offset `json:"forgotten"`
	// LeftOut holds, by service, the last change that was left out because its format is newer than MaxRecordFormat. The
	// service keeps its revision, and later changes of it are left out too, because their verdicts depend on the unreadable
	// change. Such a state may differ from that of other instances, so it is not written as a checkpoint or sent to peers.
	LeftOut map[string]*FormatError `json:"-"`
}

// NewState returns an empty state, before the first record.
func NewState() *State {
	return &State{Services: map[string]*Entry{}, Removed: map[string]logservice.Offset{}}
}

// Verdict says what was decided on a record.
type Verdict string

// Verdicts.
const (
	// Accepted means that the change is in force.
	Accepted Verdict = "accepted"
	// Conflict means that the base of the change is not the current revision of the service.
	Conflict Verdict = "conflict"
	// Duplicate means that a change with the same ID put the current entry of the service into force.
	Duplicate Verdict = "duplicate"
	// Malformed means that the record or its spec is invalid.
	Malformed Verdict = "malformed"
	// UnsupportedFormat means that the record was left out because its format, or that of an earlier change of the same
	// service, is newer than MaxRecordFormat.
	UnsupportedFormat Verdict = "not_understood"
	// NotAChange means that the record is of another kind or was already applied.
	NotAChange Verdict = "not_a_change"
	// Gap means that records before this one are missing. The record was not applied.
	Gap Verdict = "gap"
)

// Decision is the result of applying one record.
type Decision struct {
	Offset  logservice.Offset
	Verdict Verdict
	// Change is nil if the record holds no readable change.
	Change *Change
	// CurrentRevision is the revision of the service before the change.
	CurrentRevision logservice.Offset
	// Previous is the entry of the service before the change, nil if it was not in force.
	Previous *Entry
	// Err is the cause if Verdict is Malformed or UnsupportedFormat, otherwise nil.
	Err error
}

// Apply applies the next record. It ignores records at or before Through, and it does not apply a record after Through+1,
// so that the state never skips a change.
func (s *State) Apply(r logservice.Record) Decision {
	if r.Offset <= s.Through {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	if r.Offset > s.Through+1 {
		return Decision{Offset: r.Offset, Verdict: Gap}
	}
	s.Through = r.Offset
	record, err := DecodeRecord(r.Payload)
	var unsupported *FormatError
	if errors.As(err, &unsupported) {
		return s.leaveOutRecord(r.Offset, unsupported)
	}
	if err != nil {
		return Decision{Offset: r.Offset, Verdict: Malformed, Err: err}
	}
	if record.Kind != KindChange {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	return s.applyChange(r.Offset, record.Change)
}

// leaveOutRecord adds a record of an unsupported format to LeftOut, unless it is a checkpoint, which does not change the
// state.
func (s *State) leaveOutRecord(offset logservice.Offset, unsupported *FormatError) Decision {
	unsupported.Offset = offset
	if unsupported.Kind != KindCheckpoint {
		if s.LeftOut == nil {
			s.LeftOut = map[string]*FormatError{}
		}
		s.LeftOut[unsupported.Service] = unsupported
	}
	return Decision{Offset: offset, Verdict: UnsupportedFormat, Err: unsupported}
}

// CheckComplete returns the *FormatError of the last change that was left out, or nil if none was.
func (s *State) CheckComplete() error {
	if len(s.LeftOut) == 0 {
		return nil
	}
	byOffset := func(a, b *FormatError) int { return cmp.Compare(a.Offset, b.Offset) }
	return slices.MaxFunc(slices.Collect(maps.Values(s.LeftOut)), byOffset)
}

// applyChange decides on a change, and puts it into force if it is accepted.
func (s *State) applyChange(offset logservice.Offset, c *Change) Decision {
	entry := s.Services[c.Service]
	d := Decision{Offset: offset, Change: c, CurrentRevision: s.CurrentRevision(c.Service), Previous: entry}
	leftOut := s.LeftOut[c.Service]
	switch {
	case leftOut != nil:
		d.Verdict, d.Err = UnsupportedFormat, leftOut
		return d
	case entry != nil && entry.ChangeID == c.ID:
		d.Verdict = Duplicate
		return d
	case c.Base != d.CurrentRevision:
		d.Verdict = Conflict
		return d
	}
	d.Err = s.put(offset, c)
	d.Verdict = Accepted
	if d.Err != nil {
		d.Verdict = Malformed
	}
	return d
}

// put replaces or removes the service of a change. It returns an error, without changing s, if the change is malformed
// or exceeds a limit.
func (s *State) put(offset logservice.Offset, c *Change) error {
	if c.Spec == "" {
		return s.remove(offset, c)
	}
	if err := s.checkLimits(c); err != nil {
		return err
	}
	spec, err := c.decodeSpec()
	if err != nil {
		return err
	}
	delete(s.Removed, c.Service)
	s.Services[c.Service] = &Entry{Revision: offset, ChangeID: c.ID, Author: c.Author, Spec: *spec}
	s.Revision = offset
	return nil
}

func (s *State) remove(offset logservice.Offset, c *Change) error {
	if s.Services[c.Service] == nil {
		return &RecordError{Detail: fmt.Sprintf("change %s removes the service %q, which is not in force", c.ID, c.Service)}
	}
	delete(s.Services, c.Service)
	s.Removed[c.Service] = offset
	s.evictRemoved()
	s.Revision = offset
	return nil
}

func (s *State) checkLimits(c *Change) error {
	if len(c.Spec) > MaxSpecBytes {
		return &RecordError{Detail: fmt.Sprintf("change %s: spec has %d bytes, the limit is %d", c.ID, len(c.Spec), MaxSpecBytes)}
	}
	if s.Services[c.Service] == nil && len(s.Services) >= MaxServices {
		return &RecordError{Detail: fmt.Sprintf("change %s: adding service %q would exceed the limit of %d services", c.ID, c.Service, MaxServices)}
	}
	return nil
}

// evictRemoved drops the oldest removals until MaxRemoved are left.
func (s *State) evictRemoved() {
	for len(s.Removed) > MaxRemoved {
		oldest := ""
		for name, revision := range s.Removed {
			if oldest == "" || revision < s.Removed[oldest] {
				oldest = name
			}
		}
		s.Forgotten = max(s.Forgotten, s.Removed[oldest])
		delete(s.Removed, oldest)
	}
}

// CurrentRevision returns the current revision of a service, which a change of it must have as its base. For a service
// that is neither in force nor in Removed it returns Forgotten, which is 0 until a removal is forgotten.
func (s *State) CurrentRevision(service string) logservice.Offset {
	if entry := s.Services[service]; entry != nil {
		return entry.Revision
	}
	if revision, ok := s.Removed[service]; ok {
		return revision
	}
	return s.Forgotten
}

// ServiceNames returns the names of the services in force in lexical order.
func (s *State) ServiceNames() []string { return slices.Sorted(maps.Keys(s.Services)) }

// Clone returns a copy of s with its own maps. The entries are shared because they are immutable.
func (s *State) Clone() *State {
	return &State{
		Through:   s.Through,
		Revision:  s.Revision,
		Services:  maps.Clone(s.Services),
		Removed:   maps.Clone(s.Removed),
		Forgotten: s.Forgotten,
		LeftOut:   maps.Clone(s.LeftOut),
	}
}
