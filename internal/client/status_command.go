package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/platform"
)

func statusCommand(out io.Writer) subcommands.Command {
	var address string
	return &command{
		name: "status", synopsis: "show the revision in force on each instance", usage: "status -platform ADDRESS\n",
		setFlags: func(f *flag.FlagSet) { platformFlag(f, &address) },
		run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
			list, err := FleetStatus(ctx, platform.NewClient(address))
			if err != nil {
				return failure(err)
			}
			for _, s := range list {
				printStatus(out, s)
			}
			return subcommands.ExitSuccess
		},
	}
}

func printStatus(out io.Writer, s InstanceStatus) {
	if s.Status == nil {
		_, _ = fmt.Fprintf(out, "%s zone=%s unreachable: %s\n", s.Listed.ID, s.Listed.Zone, s.Error)
		return
	}
	_, _ = fmt.Fprintf(out, "%s zone=%s ready=%t revision=%d\n", s.Listed.ID, s.Listed.Zone, s.Status.Ready, s.Status.Revision)
}
