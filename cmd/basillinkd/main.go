// Command basillinkd runs one balancing instance.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/daemoncli"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, command := range daemoncli.Commands(os.Stdout, os.Stderr) {
		subcommands.Register(command, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// After the first signal, Ctrl-C terminates the process at once and abandons the drain. A further SIGTERM is ignored.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	os.Exit(int(subcommands.Execute(ctx)))
}
