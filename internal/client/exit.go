package client

import (
	"errors"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Exit statuses of the client, in addition to 0 for success and 2 for wrong usage or an invalid file.
const (
	ExitFailure  = subcommands.ExitFailure
	ExitConflict = subcommands.ExitStatus(3)
	// ExitNotInForce means that the change was accepted but was not in force on every instance before the timeout.
	ExitNotInForce = subcommands.ExitStatus(4)
)

// reportFailure prints err to standard error and returns the exit status for it.
func reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "basillink:", err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return ExitConflict
	}
	var notInForce *NotInForceError
	if errors.As(err, &notInForce) {
		return ExitNotInForce
	}
	return ExitFailure
}

// UsageError reports wrong command-line arguments.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string { return e.Detail }

// reportUsageError prints err to standard error and returns the exit status for wrong usage.
func reportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "basillink:", err)
	return subcommands.ExitUsageError
}
