package transport

import (
	"fmt"

	"github.com/basillink/basillink/internal/reason"
)

// ExchangeError is a failed exchange with a target.
type ExchangeError struct {
	// Reason says what failed.
	Reason *reason.Reason
	// Sent is true when bytes of the request may have reached the target.
	Sent bool
	// Address is the target's address.
	Address string
	// Err is the cause.
	Err error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Address, e.Reason.Name, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// LimitError reports that a pool has no connection left.
type LimitError struct {
	Address string
	Limit   int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: all %d connections are in use", e.Address, e.Limit)
}

// UnboundedAnswerError reports an answer whose end cannot be told from a broken connection.
type UnboundedAnswerError struct{}

func (e *UnboundedAnswerError) Error() string {
	return "the answer has neither a length nor chunks"
}
