// Package daemoncli implements the commands of basillinkd.
//
// Exit statuses: 0 after a planned stop, 1 when the instance failed, 2 for wrong
// usage or invalid settings. With status 2 no listener was opened.
package daemoncli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

const defaultSettingsFile = "basillinkd.toml"

// Commands returns the commands of basillinkd. The commands write results to out and errors to errOut. Logs go to
// errOut, except for the edge command, which logs to out.
func Commands(out, errOut io.Writer) []subcommands.Command {
	return []subcommands.Command{
		&runCommand{errOut: errOut},
		&edgeCommand{out: out, errOut: errOut},
		&checkCommand{out: out, errOut: errOut},
		&devCommand{out: out, errOut: errOut},
	}
}

// Run runs an instance with the settings in file until ctx is cancelled, and returns the exit status.
func Run(ctx context.Context, errOut io.Writer, file string) subcommands.ExitStatus {
	s, err := settings.Load(file)
	if err != nil {
		return reportUsageError(errOut, err)
	}
	debug.SetMemoryLimit(s.Memory.RuntimeBytes())
	log := telemetry.NewLogger(errOut, s.Log.Level, s.Log.Format)
	d, err := daemon.New(s, log)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		telemetry.Component(log, "daemon").Error("Instance failed.", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// reportUsageError prints err and returns the exit status for wrong usage.
func reportUsageError(errOut io.Writer, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(errOut, "basillinkd:", err)
	return subcommands.ExitUsageError
}

// runCommand runs an instance that is configured by the platform's log.
type runCommand struct {
	errOut io.Writer
	file   string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an instance" }
func (*runCommand) Usage() string {
	return `run [-settings FILE]
  Run an instance until SIGTERM or SIGINT, then finish the requests in flight.
  Exit status: 0 after a planned stop, 1 on failure, 2 for settings that are not accepted.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", defaultSettingsFile, "settings file")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return Run(ctx, c.errOut, c.file)
}

// checkCommand validates a settings file without opening a listener.
type checkCommand struct {
	out, errOut io.Writer
	file        string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string {
	return `check [-settings FILE]
  Check a settings file. No port is opened.
  Exit status: 0 when it is accepted, 2 when it is not.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", defaultSettingsFile, "settings file")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := settings.Load(c.file)
	if err != nil {
		return reportUsageError(c.errOut, err)
	}
	_, _ = fmt.Fprintf(c.out, "%s: settings of instance %s, valid\n", c.file, s.Instance.ID)
	return subcommands.ExitSuccess
}
