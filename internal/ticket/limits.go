package ticket

import "time"

// Limits bounds a table of operations.
type Limits struct {
	// Entries bounds the operations in the table.
	Entries int
	// StoredBytes bounds the memory of all kept answers.
	StoredBytes int
	// AnswerBytes bounds one kept answer.
	AnswerBytes int
	// Lifetime is how long a ticket may be used and its outcome is kept, from its issue.
	Lifetime time.Duration
}

// DefaultLimits returns the limits stated in the design.
func DefaultLimits() Limits {
	return Limits{Entries: 65_536, StoredBytes: 32 << 20, AnswerBytes: 64 << 10, Lifetime: 10 * time.Minute}
}
