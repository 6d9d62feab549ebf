package client

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// command implements subcommands.Command from its fields.
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

// Commands returns the commands of the operators' client. They write results to out and errors to standard error.
func Commands(out io.Writer) []subcommands.Command {
	return []subcommands.Command{
		checkCommand(out),
		publishCommand(out),
		statusCommand(out),
		historyCommand(out),
		diffCommand(out),
		drainCommand(out),
		loadCommand(out),
		explainCommand(out),
	}
}
