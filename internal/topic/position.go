// Package topic declares positions in the topics of the platform's store.
package topic

import "cmp"

// Position is a place in a topic. Offsets number the records of one era; the store begins a new era when it is restored from an
// older copy, and then gives offsets out again. The zero value is the beginning of a topic in an unknown era.
type Position struct {
	// Era is 0 if it is unknown: the store told none, or the position is of an instance that knows no eras.
	Era    int64
	Offset int64
}

// Compare orders positions by era, then by offset.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether the position is before another one.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether the position is after another one.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Next returns the position behind the record at this one.
func (p Position) Next() Position { return Position{p.Era, p.Offset + 1} }

// Previous returns the position of the record before this position, in the same era.
func (p Position) Previous() Position { return Position{p.Era, p.Offset - 1} }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
