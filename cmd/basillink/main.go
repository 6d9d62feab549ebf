// Command basillink is the command-line client for operators.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/client"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, command := range client.Commands(os.Stdout) {
		subcommands.Register(command, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
