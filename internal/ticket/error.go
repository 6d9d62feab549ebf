package ticket

import "fmt"

// FormatError reports a malformed ticket or closing record.
type FormatError struct{ Problem string }

func (e *FormatError) Error() string { return "malformed ticket or closing record: " + e.Problem }

// RecordLimitError reports that a part of a closing record needs more memory than the store has left. Both values are in
// bytes.
type RecordLimitError struct{ Bytes, Limit int }

func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("closing record of %d bytes exceeds the remaining %d bytes of the store", e.Bytes, e.Limit)
}
