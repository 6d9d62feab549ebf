package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/operator"
)

// UnknownTargetError reports that no service in force has a target with the address.
type UnknownTargetError struct{ Address string }

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no service in force has the target %q", e.Address)
}

func drainCommand(out io.Writer) subcommands.Command {
	options := &publishOptions{}
	var service string
	return &command{
		name: "drain", synopsis: "let a target leave: it finishes its requests and receives no new ones",
		usage: "drain [-platform ADDRESS] [-service NAME] [-wait [-timeout D]] [-json] TARGET\n" +
			"  Exit status: 0 accepted, 1 failure, 2 usage, 3 conflict, 4 not in force in time.\n",
		setFlags: func(f *flag.FlagSet) {
			options.setFlags(f)
			f.StringVar(&service, "service", "", "drain the target in this service only")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if f.NArg() != 1 {
				return reportUsageError(&UsageError{Detail: "exactly one TARGET is expected"})
			}
			return options.run(ctx, out, func(state *intent.State) ([]operator.Service, error) {
				return markTargetLeaving(state, service, f.Arg(0))
			})
		},
	}
}

// markTargetLeaving returns the services in force that have a target with the address, with the state of that target
// set to leaving. An empty service name means all services. The services in state are not modified. It returns an
// *UnknownTargetError if no service has the target.
func markTargetLeaving(state *intent.State, service, address string) ([]operator.Service, error) {
	var services []operator.Service
	for _, name := range state.ServiceNames() {
		if service != "" && service != name {
			continue
		}
		spec := state.Services[name].Spec
		i := slices.IndexFunc(spec.Targets, func(t operator.Target) bool { return t.Address == address })
		if i < 0 {
			continue
		}
		spec.Targets = slices.Clone(spec.Targets)
		spec.Targets[i].State = operator.TargetLeaving
		services = append(services, spec)
	}
	if len(services) == 0 {
		return nil, &UnknownTargetError{Address: address}
	}
	return services, nil
}
