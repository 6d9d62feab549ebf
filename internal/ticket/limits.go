package ticket

import "time"

// Limits bounds the table of operations of one instance.
type Limits struct {
	// Entries is the maximum number of operations in the table.
	Entries int
	// StoredBytes is the maximum memory of all stored answers in bytes.
	StoredBytes int
	// AnswerBytes is the maximum memory of one stored answer in bytes.
	AnswerBytes int
	// Lifetime is the time from the issue of a ticket during which it may be used and its outcome is remembered.
	Lifetime time.Duration
}

// DefaultLimits returns the default limits, as specified in the design.
func DefaultLimits() Limits {
	return Limits{Entries: 65_536, StoredBytes: 32 << 20, AnswerBytes: 64 << 10, Lifetime: 10 * time.Minute}
}
