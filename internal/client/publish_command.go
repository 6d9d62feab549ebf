package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/operator"
)

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
