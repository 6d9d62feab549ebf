package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/logservice"
)

const statusUsage = `status [-platform ADDRESS | -admin ADDRESS,ADDRESS...] [-json]
  Show state, requests in flight and the revision in force on each instance that the platform lists.
  With -admin the instances at these admin addresses are asked, which also works while the platform is down.
  Exit status: 0 when every instance answered, 1 otherwise.
`

func statusCommand(out io.Writer) subcommands.Command {
	var address, admins string
	var asJSON bool
	return &command{
		name: "status", synopsis: "show the revision in force on each instance", usage: statusUsage,
		setFlags: func(f *flag.FlagSet) {
			platformFlag(f, &address)
			f.StringVar(&admins, "admin", "", "admin addresses, separated by commas")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
			list, err := readStatus(ctx, address, admins)
			if err != nil {
				return reportFailure(err)
			}
			printStatusList(out, list, asJSON)
			return statusExit(list)
		},
	}
}

func readStatus(ctx context.Context, address, admins string) ([]InstanceStatus, error) {
	if admins == "" {
		return FleetStatus(ctx, logservice.NewClient(address))
	}
	var instances []logservice.ListedInstance
	for _, admin := range strings.Split(admins, ",") {
		instances = append(instances, logservice.ListedInstance{ID: admin, AdminAddress: admin})
	}
	return fetchAllStatuses(ctx, instances), nil
}

func statusExit(list []InstanceStatus) subcommands.ExitStatus {
	for _, s := range list {
		if s.Status == nil {
			return ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func printStatusList(out io.Writer, list []InstanceStatus, asJSON bool) {
	if asJSON {
		printJSON(out, list)
		return
	}
	for _, s := range list {
		printStatus(out, s)
	}
}

func printStatus(out io.Writer, s InstanceStatus) {
	if s.Status == nil {
		_, _ = fmt.Fprintf(out, "%s zone=%s unreachable: %s\n", s.Listed.ID, s.Listed.Zone, s.Error)
		return
	}
	_, _ = fmt.Fprintf(out, "%s zone=%s state=%s ready=%t in_flight=%d revision=%d\n",
		s.Status.Instance, s.Status.Zone, s.Status.State, s.Status.Ready, s.Status.InFlight, s.Status.Revision)
}
