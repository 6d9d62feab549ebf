package intent

import (
	"fmt"

	"github.com/basillink/basillink/internal/logservice"
)

// GapError reports that records between the state and the retained part of the log are lost and that no checkpoint in
// the log covers them.
type GapError struct {
	// Applied is the offset of the last record that was applied.
	Applied logservice.Offset
	// Earliest is the offset of the first record that is retained.
	Earliest logservice.Offset
}

func (e *GapError) Error() string {
	return fmt.Sprintf("log: records from %d to %d are no longer retained and no checkpoint covers them", e.Applied+1, e.Earliest-1)
}

// RewoundError reports that the log ends before the offset from which it was read, which means that it lost records.
type RewoundError struct {
	// Applied is the offset of the last record that was applied before the request.
	Applied logservice.Offset
	// Next is the offset that the log will give to the next record.
	Next logservice.Offset
}

func (e *RewoundError) Error() string {
	return fmt.Sprintf("log: the next record has offset %d, but records through %d were already applied", e.Next, e.Applied)
}

// CheckRewound returns a *RewoundError if page shows that the log ends before from, the offset that was requested. It
// does not compare with the offset of the state, because a delta from a peer may have advanced the state since the
// request.
func CheckRewound(from logservice.Offset, page logservice.Page) error {
	if page.Next < from {
		return &RewoundError{Applied: from - 1, Next: page.Next}
	}
	return nil
}

// Fold applies the records of a log to a State in order. When records are no longer retained, it continues from a
// checkpoint that covers them. Its state never goes back. A Fold is not safe for concurrent use.
type Fold struct {
	state *State
	// searchFrom is the offset from which to search for a checkpoint, 0 if no records are missing.
	searchFrom logservice.Offset
}

// NewFold returns a fold that starts with the empty configuration.
func NewFold() *Fold { return &Fold{state: NewState()} }

// NewFoldFrom returns a fold that continues from a copy of s.
func NewFoldFrom(s *State) *Fold { return &Fold{state: s.Clone()} }

// State returns the current state. It is valid until the next call of ApplyPage or Merge.
func (f *Fold) State() *State { return f.state }

// Next returns the offset from which to read the log next.
func (f *Fold) Next() logservice.Offset { return max(f.searchFrom, f.state.Through+1) }

// CaughtUp reports whether every record that the log held when the page was read has been processed.
func (f *Fold) CaughtUp(page logservice.Page) bool { return f.Next() >= page.Next }

// ApplyPage applies a page that was read from offset Next and calls visit with the decision on each record. If records
// before the page are missing, it searches for a checkpoint that covers them and returns a *GapError when the log ends
// without one.
func (f *Fold) ApplyPage(page logservice.Page, visit func(Decision)) error {
	if page.Earliest > f.state.Through+1 && !f.restoreCheckpoint(page) {
		return f.continueSearch(page)
	}
	f.searchFrom = 0
	for _, record := range page.Records {
		visit(f.state.Apply(record))
	}
	return nil
}

// restoreCheckpoint replaces the state with that of the first usable checkpoint of the page, and reports whether there
// is one.
func (f *Fold) restoreCheckpoint(page logservice.Page) bool {
	for _, record := range page.Records {
		checkpoint := usableCheckpoint(record, page.Earliest)
		if checkpoint != nil && checkpoint.State.Through > f.state.Through {
			f.state = checkpoint.State.Clone()
			return true
		}
	}
	return false
}

// continueSearch moves the search for a checkpoint past the page. It returns a *GapError at the end of the log.
func (f *Fold) continueSearch(page logservice.Page) error {
	f.searchFrom = max(f.searchFrom, page.Earliest)
	if n := len(page.Records); n > 0 {
		f.searchFrom = page.Records[n-1].Offset + 1
	}
	if f.searchFrom < page.Next {
		return nil
	}
	return &GapError{Applied: f.state.Through, Earliest: page.Earliest}
}

// Merge applies a delta from a peer and reports whether it advanced the state. See State.Merge for errors.
func (f *Fold) Merge(d *Delta) (bool, error) {
	advanced, err := f.state.Merge(d)
	if advanced {
		f.searchFrom = 0
	}
	return advanced, err
}
