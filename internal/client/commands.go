package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/operator"
)

// Exit statuses of the client besides 0 for success and 2 for wrong usage or an invalid file.
const (
	ExitFailure  = subcommands.ExitFailure
	ExitConflict = subcommands.ExitStatus(3)
)

// command is a subcommand with a usage text.
type command struct {
	name, synopsis, usage string
	setFlags              func(*flag.FlagSet)
	run                   func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus
}

func (c *command) Name() string             { return c.name }
func (c *command) Synopsis() string         { return c.synopsis }
func (c *command) Usage() string            { return c.usage }
func (c *command) SetFlags(f *flag.FlagSet) { c.setFlags(f) }
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, f)
}

// Commands returns the operators' commands.
func Commands(out io.Writer) []subcommands.Command {
	return []subcommands.Command{checkCommand(out), publishCommand(out), statusCommand(out)}
}

func checkCommand(out io.Writer) subcommands.Command {
	return &command{
		name: "check", synopsis: "check an intent file", usage: "check FILE\n",
		setFlags: func(*flag.FlagSet) {},
		run: func(_ context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			in, err := loadIntent(f)
			if err != nil {
				return usageError(err)
			}
			_, _ = fmt.Fprintf(out, "%s: %d services, valid\n", f.Arg(0), len(in.Services))
			return subcommands.ExitSuccess
		},
	}
}

func publishCommand(out io.Writer) subcommands.Command {
	var address, author string
	return &command{
		name: "publish", synopsis: "publish an intent file", usage: "publish -platform ADDRESS FILE\n",
		setFlags: func(f *flag.FlagSet) {
			platformFlag(f, &address)
			f.StringVar(&author, "author", os.Getenv("USER"), "author recorded with the change")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			in, err := loadIntent(f)
			if err != nil {
				return usageError(err)
			}
			if err := publishAll(ctx, out, platform.NewClient(address), author, in); err != nil {
				return failure(err)
			}
			return subcommands.ExitSuccess
		},
	}
}

func publishAll(ctx context.Context, out io.Writer, log platform.Log, author string, in *operator.Intent) error {
	state, err := ReadState(ctx, log)
	if err != nil {
		return err
	}
	for _, service := range in.Services {
		decision, err := Publish(ctx, log, state, author, service)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%s: accepted as revision %d\n", service.Name, decision.Offset)
	}
	return nil
}

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

func platformFlag(f *flag.FlagSet, address *string) {
	f.StringVar(address, "platform", "127.0.0.1:7000", "IP address and port of the platform")
}

func loadIntent(f *flag.FlagSet) (*operator.Intent, error) {
	if f.NArg() != 1 {
		return nil, &UsageError{Detail: "exactly one FILE is expected"}
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return nil, err
	}
	return intent.Decode(f.Arg(0), data)
}

// UsageError reports wrong arguments.
type UsageError struct{ Detail string }

func (e *UsageError) Error() string { return e.Detail }

func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "basillink:", err)
	return subcommands.ExitUsageError
}
