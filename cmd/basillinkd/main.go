// Command basillinkd runs one balancing instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/daemon"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// runCommand runs an instance from a settings file.
type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an instance" }
func (*runCommand) Usage() string    { return "run -settings FILE\n  Run an instance until SIGTERM.\n" }

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "basillinkd.toml", "settings file")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "basillinkd:", err)
		return subcommands.ExitUsageError
	}
	log := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	d, err := daemon.New(s, log)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		log.Error("daemon: Instance failed.", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
