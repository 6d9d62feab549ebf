package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

func checkCommand(out io.Writer) subcommands.Command {
	return &command{
		name: "check", synopsis: "check an intent file", usage: "check FILE\n  Check an intent file. Nothing is published.\n  Exit status: 0 when it is accepted, 2 when it is not.\n",
		setFlags: func(*flag.FlagSet) {},
		run: func(_ context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			in, err := loadIntent(f)
			if err != nil {
				return reportUsageError(err)
			}
			_, _ = fmt.Fprintf(out, "%s: %d services, valid\n", f.Arg(0), len(in.Services))
			return subcommands.ExitSuccess
		},
	}
}
