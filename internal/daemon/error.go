package daemon

import "fmt"

// ListenError reports a listener that cannot be opened.
type ListenError struct {
	// Key is the settings key of the address, such as "listen.caller".
	Key     string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s (%s): %v", e.Address, e.Key, e.Err)
}

// Unwrap returns the error of the listen call.
func (e *ListenError) Unwrap() error { return e.Err }
