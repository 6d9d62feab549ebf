package ticket

import "fmt"

// FormatError reports bytes that are not a ticket or a closing record.
type FormatError struct{ Problem string }

func (e *FormatError) Error() string { return "malformed: " + e.Problem }

// RecordLimitError reports a closing record that is larger than a store accepts.
type RecordLimitError struct{ Bytes, Limit int }

func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("a closing record of %d bytes exceeds the %d bytes left", e.Bytes, e.Limit)
}
