package peer

import (
	"fmt"
	"time"
)

// SizeError reports a message that exceeds MaxMessageBytes.
type SizeError struct{ Bytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("peer message has %d bytes of at most %d", e.Bytes, MaxMessageBytes)
}

// AuthError reports a peer that does not prove knowledge of the shared secret.
type AuthError struct{ Address string }

func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not know the shared secret", e.Address)
}

// TimeoutError reports a call that was not answered in time. Its connection was closed.
type TimeoutError struct {
	Method  string
	Address string
	Timeout time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("peer %s did not answer %s within %s", e.Address, e.Method, e.Timeout)
}

// BackoffError reports that no connection is tried yet, because the last attempts failed.
type BackoffError struct {
	Address   string
	Remaining time.Duration
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("peer %s is not contacted again before a pause of %s", e.Address, e.Remaining)
}

// LimitError reports that too many connections are open.
type LimitError struct{ Limit int }

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d connections of peers are open, which is the limit", e.Limit)
}

// ChangedError reports that a peer's state changed between the pages of a pull.
type SnapshotChangedError struct{ Address string }

func (e *SnapshotChangedError) Error() string {
	return fmt.Sprintf("the state of peer %s changed during a pull", e.Address)
}
