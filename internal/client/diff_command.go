package client

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// ServiceDiff is the difference between a service of an intent file and the same service in force.
type ServiceDiff struct {
	Service string `json:"service"`
	// Revision is the revision in force, 0 for a service that is not in force.
	Revision logservice.Offset `json:"revision"`
	// Diff holds the lines that change from the service in force to the file. It is empty when they are equal.
	Diff string `json:"diff"`
}

func diffCommand(out io.Writer) subcommands.Command {
	var address string
	var asJSON bool
	return &command{
		name: "diff", synopsis: "compare an intent file with what is in force",
		usage: "diff [-platform ADDRESS] [-json] FILE\n",
		setFlags: func(f *flag.FlagSet) {
			platformFlag(f, &address)
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			in, err := loadIntent(f)
			if err != nil {
				return reportUsageError(err)
			}
			state, err := ReadState(ctx, logservice.NewClient(address))
			if err != nil {
				return reportFailure(err)
			}
			diffs, err := diffServices(state, in.Services)
			if err != nil {
				return reportFailure(err)
			}
			printDiffs(out, diffs, asJSON)
			return subcommands.ExitSuccess
		},
	}
}

// diffServices compares services with those in force in state.
func diffServices(state *intent.State, services []operator.Service) ([]ServiceDiff, error) {
	var diffs []ServiceDiff
	for _, service := range services {
		wanted, err := intent.EncodeService(service)
		if err != nil {
			return nil, err
		}
		d := ServiceDiff{Service: service.Name}
		inForce := ""
		if entry := state.Services[service.Name]; entry != nil {
			d.Revision = entry.Revision
			if inForce, err = intent.EncodeService(entry.Spec); err != nil {
				return nil, err
			}
		}
		d.Diff = intent.Diff(inForce, wanted)
		diffs = append(diffs, d)
	}
	return diffs, nil
}

func printDiffs(out io.Writer, diffs []ServiceDiff, asJSON bool) {
	if asJSON {
		printJSON(out, diffs)
		return
	}
	for _, d := range diffs {
		if d.Diff == "" {
			_, _ = fmt.Fprintf(out, "%s: as in force, revision %d\n", d.Service, d.Revision)
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: differs from revision %d\n%s", d.Service, d.Revision, d.Diff)
	}
}

func printJSON(out io.Writer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // All values that this package prints can be encoded.
}
