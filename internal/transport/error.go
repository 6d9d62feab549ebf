package transport

import (
	"fmt"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// ExchangeError reports a failed exchange with a target.
type ExchangeError struct {
	// Reason classifies the failure.
	Reason *reason.Reason
	// Sent is true if bytes of the request may have reached the target.
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

// PoolExhaustedError reports that all connections of a pool stayed in use until the context was done.
type PoolExhaustedError struct {
	Address string
	Limit   int
}

func (e *PoolExhaustedError) Error() string {
	return fmt.Sprintf("%s: all %d connections are in use", e.Address, e.Limit)
}

// ConnectTimeoutError reports that no connection was obtained within Limits.ConnectTimeout.
type ConnectTimeoutError struct {
	Address string
	Limit   time.Duration
	// Waited is true if the exchange waited for its turn in the pool until then, which says nothing about the target.
	Waited bool
}

func (e *ConnectTimeoutError) Error() string {
	return fmt.Sprintf("%s: no connection within %s", e.Address, e.Limit)
}

// PoolClosedError reports an exchange on a closed pool.
type PoolClosedError struct{ Address string }

func (e *PoolClosedError) Error() string { return e.Address + ": the pool is closed" }

// UnboundedAnswerError reports an answer with neither a length nor chunked encoding, whose end cannot be told from a
// broken connection.
type UnboundedAnswerError struct{}

func (e *UnboundedAnswerError) Error() string {
	return "the answer has neither a Content-Length nor chunked encoding"
}

// AnswerSizeError reports an answer whose body is longer than the limit, in bytes.
type AnswerSizeError struct{ Limit int }

func (e *AnswerSizeError) Error() string {
	return fmt.Sprintf("the body of the answer is longer than %d bytes", e.Limit)
}

// MalformedAnswerError reports an answer that is not valid HTTP/1.
type MalformedAnswerError struct{ Detail string }

func (e *MalformedAnswerError) Error() string { return "malformed answer: " + e.Detail }

// TruncatedAnswerError reports an answer whose body ended early or could not be read to its end.
type TruncatedAnswerError struct{ Err error }

func (e *TruncatedAnswerError) Error() string { return fmt.Sprintf("truncated answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *TruncatedAnswerError) Unwrap() error { return e.Err }

// NoDescriptorError reports a connection without a file descriptor.
type NoDescriptorError struct{}

func (e *NoDescriptorError) Error() string { return "the connection has no file descriptor" }
