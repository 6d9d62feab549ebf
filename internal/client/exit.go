package client

import (
	"errors"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "basillink:", err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return ExitConflict
	}
	return ExitFailure
}
