package daemoncli

import (
	"context"
	"errors"
	"flag"
	"io"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/devmode"
	"github.com/basillink/basillink/internal/telemetry"
)

// devCommand runs development mode: a stand-in platform, sample targets and one instance in one process.
type devCommand struct {
	out, errOut io.Writer
	addresses   devmode.Addresses
	level       string
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "try basillink in one process; not for production" }
func (*devCommand) Usage() string {
	return `dev [-caller ADDRESS] [-admin ADDRESS] [-platform ADDRESS]
  NOT FOR PRODUCTION. Run a stand-in platform, sample targets and one instance in one process until SIGINT.
  Only loopback addresses are accepted. Exit status: 0 after a planned stop, 1 on failure, 2 for wrong addresses.
`
}

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	c.addresses = devmode.DefaultAddresses()
	f.StringVar(&c.addresses.Caller, "caller", c.addresses.Caller, "loopback address for callers")
	f.StringVar(&c.addresses.Admin, "admin", c.addresses.Admin, "loopback address of the admin listener")
	f.StringVar(&c.addresses.Peer, "peer", c.addresses.Peer, "loopback address for other instances")
	f.StringVar(&c.addresses.Platform, "platform", c.addresses.Platform, "loopback address of the stand-in platform")
	f.StringVar(&c.level, "log", "info", "log level: debug, info, warn, error")
}

func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := telemetry.NewLogger(c.errOut, c.level, "text")
	err := devmode.Run(ctx, c.addresses, c.out, log)
	var address *devmode.AddressError
	if errors.As(err, &address) {
		return reportUsageError(c.errOut, err)
	}
	if err != nil {
		telemetry.Component(log, "dev").Error("Development mode failed.", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
