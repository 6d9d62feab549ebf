package peer

import (
	"fmt"
	"time"
)

// SizeError reports a message larger than MaxMessageBytes or a pulled configuration larger than maxSnapshotBytes.
type SizeError struct{ Bytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("peer message of %d bytes exceeds the limit of %d bytes", e.Bytes, MaxMessageBytes)
}

// AuthError reports a peer that failed to prove knowledge of the shared secret.
type AuthError struct{ Address string }

func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not know the shared secret", e.Address)
}

// TimeoutError reports a call that was not answered within Timeout. The connection of the call has been closed.
type TimeoutError struct {
	Method  string
	Address string
	Timeout time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("peer %s did not answer %s within %s", e.Address, e.Method, e.Timeout)
}

// BackoffError reports that no connection is attempted for Remaining, because earlier attempts failed.
type BackoffError struct {
	Address   string
	Remaining time.Duration
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("peer %s: backing off, next connection attempt in %s", e.Address, e.Remaining)
}

// LimitError reports that a peer connection was rejected because Limit connections are open or the server is closed.
type LimitError struct{ Limit int }

func (e *LimitError) Error() string {
	return fmt.Sprintf("limit of %d peer connections reached", e.Limit)
}

// SnapshotChangedError reports that the state of a peer changed between two pages of a pull.
type SnapshotChangedError struct{ Address string }

func (e *SnapshotChangedError) Error() string {
	return fmt.Sprintf("the state of peer %s changed during a pull", e.Address)
}
