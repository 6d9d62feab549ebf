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

// Entry is one service in force.
type Entry struct {
	// Revision is the offset of the accepted change.
	Revision logservice.Offset `json:"revision"`
	ChangeID string            `json:"change_id"`
	Author   string            `json:"author"`
	Spec     operator.Service  `json:"spec"`
	// encoded caches the JSON of the entry for digests.
	encoded atomic.Pointer[[]byte]
}

// encode returns the JSON of the entry. It may be called from any goroutine: an entry is not modified after it was
// stored, so that goroutines which encode it at the same time store the same bytes.
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

// Bounds of a state. They are part of the fold: every instance must apply the same ones.
const (
	// MaxServices bounds the services in force; the two-year size has 130.
	MaxServices = 1024
	// MaxRemoved bounds the removed services whose revision is remembered one by one.
	MaxRemoved = 1024
	// MaxSpecBytes bounds the spec of one service; 4,000 targets fit.
	MaxSpecBytes = 512 << 10
)

// State is the configuration after folding all records through an offset.
//
// One goroutine owns a State and is the only one to call Apply or Merge. To share it, hand out a Clone: the
// clone has maps of its own, and the entries in them are never modified after they were stored, so that owner
// and readers need no lock.
type State struct {
	// Through is the offset of the last folded record.
	Through logservice.Offset `json:"through"`
	// Revision is the offset of the last accepted change.
	Revision logservice.Offset `json:"revision"`
	Services map[string]*Entry `json:"services"`
	// Removed holds the revisions at which services were removed, the latest MaxRemoved of them.
	Removed map[string]logservice.Offset `json:"removed"`
	// Forgotten is the highest revision that was dropped from Removed. It is the current revision of every
	// service that is neither in force nor in Removed, so that no old base becomes acceptable again.
	Forgotten logservice.Offset `json:"forgotten"`
	// LeftOut holds, by service, the last change that was left out because of its newer format. The service keeps its
	// revision, and later changes of it are left out too, because their verdict depends on the one that is missing.
	// Such a state may lack what other instances have in force: it is no checkpoint, and it is not sent to peers.
	LeftOut map[string]*FormatError `json:"-"`
}

// NewState returns the empty configuration.
func NewState() *State {
	return &State{Services: map[string]*Entry{}, Removed: map[string]logservice.Offset{}}
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
	// UnsupportedFormat means that the record has a newer format, or follows one of the same service, and was left out.
	UnsupportedFormat Verdict = "not_understood"
	// NotAChange means that the record is of another kind or was folded before.
	NotAChange Verdict = "not_a_change"
	// Gap means that records before this one are missing; nothing was folded.
	Gap Verdict = "gap"
)

// Decision is the result of folding one record.
type Decision struct {
	Offset  logservice.Offset
	Verdict Verdict
	Change  *Change
	// CurrentRevision is the revision of the service before the change.
	CurrentRevision logservice.Offset
	// Previous is the service before the change, nil if it was not in force.
	Previous *Entry
	// Err is the cause of Malformed and UnsupportedFormat.
	Err error
}

// Apply folds the next record. Records at or below Through are ignored, and a record beyond the next one is not
// folded, so that the state never skips a change.
func (s *State) Apply(r logservice.Record) Decision {
	if r.Offset <= s.Through {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	if r.Offset > s.Through+1 {
		return Decision{Offset: r.Offset, Verdict: Gap}
	}
	s.Through = r.Offset
	record, err := DecodeRecord(r.Payload)
	var newer *FormatError
	if errors.As(err, &newer) {
		return s.leaveOut(r.Offset, newer)
	}
	if err != nil {
		return Decision{Offset: r.Offset, Verdict: Malformed, Err: err}
	}
	if record.Kind != KindChange {
		return Decision{Offset: r.Offset, Verdict: NotAChange}
	}
	return s.applyChange(r.Offset, record.Change)
}

// leaveOut takes note of a record of a newer format. A checkpoint changes no state.
func (s *State) leaveOut(offset logservice.Offset, newer *FormatError) Decision {
	newer.Offset = offset
	if newer.Kind != KindCheckpoint {
		if s.LeftOut == nil {
			s.LeftOut = map[string]*FormatError{}
		}
		s.LeftOut[newer.Service] = newer
	}
	return Decision{Offset: offset, Verdict: UnsupportedFormat, Err: newer}
}

// CheckComplete returns the last *FormatError of a change that was left out, nil if there is none.
func (s *State) CheckComplete() error {
	if len(s.LeftOut) == 0 {
		return nil
	}
	byOffset := func(a, b *FormatError) int { return cmp.Compare(a.Offset, b.Offset) }
	return slices.MaxFunc(slices.Collect(maps.Values(s.LeftOut)), byOffset)
}

func (s *State) applyChange(offset logservice.Offset, c *Change) Decision {
	entry := s.Services[c.Service]
	d := Decision{Offset: offset, Change: c, CurrentRevision: s.CurrentRevision(c.Service), Previous: entry}
	missing := s.LeftOut[c.Service]
	switch {
	case missing != nil:
		d.Verdict, d.Err = UnsupportedFormat, missing
		return d
	case entry != nil && entry.ChangeID == c.ID:
		d.Verdict = Duplicate
		return d
	case c.Base != d.CurrentRevision:
		d.Verdict = Conflict
		return d
	}
	d.Err = s.store(offset, c)
	d.Verdict = Accepted
	if d.Err != nil {
		d.Verdict = Malformed
	}
	return d
}

// store puts an accepted change into force. It returns an error when the spec is not acceptable.
func (s *State) store(offset logservice.Offset, c *Change) error {
	if c.Spec == "" {
		return s.remove(offset, c)
	}
	if err := s.checkBounds(c); err != nil {
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
	s.forgetRemoved()
	s.Revision = offset
	return nil
}

func (s *State) checkBounds(c *Change) error {
	if len(c.Spec) > MaxSpecBytes {
		return &RecordError{Detail: fmt.Sprintf("change %s: spec has %d bytes of at most %d", c.ID, len(c.Spec), MaxSpecBytes)}
	}
	if s.Services[c.Service] == nil && len(s.Services) >= MaxServices {
		return &RecordError{Detail: fmt.Sprintf("change %s: %d services are in force, which is the limit", c.ID, MaxServices)}
	}
	return nil
}

// forgetRemoved drops the oldest removals beyond MaxRemoved.
func (s *State) forgetRemoved() {
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

// CurrentRevision returns the revision of a service, which a change of it must have as its base. It is 0 for a
// service that never existed, unless removals were forgotten.
func (s *State) CurrentRevision(service string) logservice.Offset {
	if entry := s.Services[service]; entry != nil {
		return entry.Revision
	}
	if revision, ok := s.Removed[service]; ok {
		return revision
	}
	return s.Forgotten
}

// ServiceNames returns the names of the services in order.
func (s *State) ServiceNames() []string { return slices.Sorted(maps.Keys(s.Services)) }

// Clone returns a copy. Entries are shared because they are never modified in place.
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
