package daemoncli

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/edge"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

// settingsVariable is the environment variable that holds the path of the settings file when an edge instance runs on the
// platform.
const settingsVariable = "BASILLINK_SETTINGS"

// RunEdge runs an edge instance with the settings in file until ctx is cancelled, and returns the exit status. Logs go
// to out, usage errors to errOut.
func RunEdge(ctx context.Context, out, errOut io.Writer, file string) subcommands.ExitStatus {
	// SIGHUP requests a reload of the settings. Ignore it until the reloader handles it, because its default action
	// terminates the process.
	signal.Ignore(syscall.SIGHUP)
	s, err := settings.LoadEdge(file)
	if err != nil {
		return reportUsageError(errOut, err)
	}
	debug.SetMemoryLimit(s.Memory.RuntimeBytes())
	queue := telemetry.NewLogQueue(out)
	defer queue.Close()
	log := telemetry.NewLogger(queue, s.Log.Level, s.Log.Format)
	e, err := edge.New(s, log)
	if err == nil {
		reloader := edge.Reloader{File: file, Log: telemetry.Component(log, "settings"), Apply: e.Apply}
		go reloader.Run(ctx, s)
		err = e.Run(ctx)
	}
	if err != nil {
		telemetry.Component(log, "edge").Error("Instance failed.", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// edgeCommand runs an instance that serves routes from the platform's store.
type edgeCommand struct {
	out, errOut io.Writer
	file        string
}

func (*edgeCommand) Name() string { return "edge" }
func (*edgeCommand) Synopsis() string {
	return "run an instance that serves routes from the platform's store"
}
func (*edgeCommand) Usage() string {
	return `edge [-settings FILE]
  Run an instance until SIGTERM or SIGINT, then finish the requests in flight.
  The file defaults to the one that the variable BASILLINK_SETTINGS names.
  Exit status: 0 after a planned stop, 1 on failure, 2 for settings that are not accepted.
`
}

func (c *edgeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(settingsVariable), "settings file")
}

func (c *edgeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return RunEdge(ctx, c.out, c.errOut, c.file)
}
