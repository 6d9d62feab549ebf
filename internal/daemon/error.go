package daemon

import "fmt"

// ListenError reports a listener that cannot be opened.
type ListenError struct {
	// Key is the setting that holds the address.
	Key     string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s (%s): %v", e.Address, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
