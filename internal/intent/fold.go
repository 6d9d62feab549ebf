package intent

import (
	"fmt"

	"github.com/basillink/basillink/internal/logservice"
)

// GapError reports that records between the state and the retained log are lost and no checkpoint that was
// read so far covers them.
type GapError struct {
	Applied  logservice.Offset
	Earliest logservice.Offset
}

func (e *GapError) Error() string {
	return fmt.Sprintf("log: records from %d to %d are no longer retained and no checkpoint covers them", e.Applied+1, e.Earliest-1)
}

// RewoundError reports a log that ends before the state, which means that it lost records.
type RewoundError struct {
	Applied logservice.Offset
	Next    logservice.Offset
}

func (e *RewoundError) Error() string {
	return fmt.Sprintf("log: the next record has offset %d, but records through %d were already taken into account", e.Next, e.Applied)
}

// CheckRewound returns a *RewoundError when a page that was read from an offset shows that the log ends before it.
// The offset of the request counts, because a peer may have moved the state on since.
func CheckRewound(from logservice.Offset, page logservice.Page) error {
	if page.Next < from {
		return &RewoundError{Applied: from - 1, Next: page.Next}
	}
	return nil
}

// Fold follows a log from a state, through gaps that a checkpoint covers. Its state only moves forward. It is
// owned by one goroutine.
type Fold struct {
	state *State
	// scan is the offset from which to look for a checkpoint, 0 when there is no gap.
	scan logservice.Offset
}

// NewFold returns a fold that starts with the empty configuration.
func NewFold() *Fold { return &Fold{state: NewState()} }

// NewFoldFrom returns a fold that continues from a copy of a state.
func NewFoldFrom(s *State) *Fold { return &Fold{state: s.Clone()} }

// State returns the current state. It is valid until the next call of ApplyPage or Merge.
func (f *Fold) State() *State { return f.state }

// Next returns the offset from which to read the log next.
func (f *Fold) Next() logservice.Offset { return max(f.scan, f.state.Through+1) }

// CaughtUp reports whether the fold has taken every record into account that the log held at a page.
func (f *Fold) CaughtUp(page logservice.Page) bool { return f.Next() >= page.Next }

// ApplyPage folds a page that was read from Next. With a gap it looks for a checkpoint and returns a *GapError
// when the end of the log was reached without one.
func (f *Fold) ApplyPage(page logservice.Page, visit func(Decision)) error {
	if page.Earliest > f.state.Through+1 && !f.recover(page) {
		return f.gap(page)
	}
	f.scan = 0
	for _, record := range page.Records {
		visit(f.state.Apply(record))
	}
	return nil
}

// recover replaces the state by that of the first checkpoint of the page after which every record is retained.
func (f *Fold) recover(page logservice.Page) bool {
	for _, record := range page.Records {
		checkpoint := usableCheckpoint(record, page.Earliest)
		if checkpoint != nil && checkpoint.State.Through > f.state.Through {
			f.state = checkpoint.State.Clone()
			return true
		}
	}
	return false
}

// gap moves the search for a checkpoint past the page.
func (f *Fold) gap(page logservice.Page) error {
	f.scan = max(f.scan, page.Earliest)
	if n := len(page.Records); n > 0 {
		f.scan = page.Records[n-1].Offset + 1
	}
	if f.scan < page.Next {
		return nil
	}
	return &GapError{Applied: f.state.Through, Earliest: page.Earliest}
}

// Merge applies a delta from a peer and reports whether it moved the state forward.
func (f *Fold) Merge(d *Delta) (bool, error) {
	moved, err := f.state.Merge(d)
	if moved {
		f.scan = 0
	}
	return moved, err
}
