package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/operator"
)

// Values of PublishResult.Outcome.
const (
	outcomeAccepted  = "accepted"
	outcomeUnchanged = "unchanged"
	outcomeRefused   = "refused"
)

// PublishResult is the result of publishing one service.
type PublishResult struct {
	Service string `json:"service"`
	// Outcome is "accepted", "unchanged" (nothing was published) or "refused" (any error).
	Outcome string `json:"outcome"`
	// Revision is the revision in force after the command, 0 if unknown.
	Revision logservice.Offset `json:"revision"`
	ChangeID string            `json:"change,omitempty"`
	// Error is the text of err.
	Error string `json:"error,omitempty"`

	err error
}

func publishCommand(out io.Writer) subcommands.Command {
	options := &publishOptions{}
	return &command{
		name: "publish", synopsis: "publish an intent file",
		usage: "publish [-platform ADDRESS] [-author NAME] [-base REVISION] [-wait [-timeout D]] [-json] FILE\n" +
			"  Publish each service of the file that differs from what is in force.\n" +
			"  Exit status: 0 accepted, 1 failure, 2 usage or invalid file, 3 conflict, 4 not in force in time.\n",
		setFlags: func(f *flag.FlagSet) {
			options.setFlags(f)
			f.Uint64Var(&options.base, "base", 0, "revision that the change was made on; 0 takes the one in force")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			in, err := loadIntent(f)
			if err != nil {
				return reportUsageError(err)
			}
			if options.base != 0 && len(in.Services) != 1 {
				return reportUsageError(&UsageError{Detail: "-base needs a file with exactly one service"})
			}
			return options.run(ctx, out, func(*intent.State) ([]operator.Service, error) { return in.Services, nil })
		},
	}
}

// publishOptions are the flags of commands that publish changes.
type publishOptions struct {
	platform string
	author   string
	base     uint64
	wait     waitOptions
	json     bool
}

func (o *publishOptions) setFlags(f *flag.FlagSet) {
	platformFlag(f, &o.platform)
	f.StringVar(&o.author, "author", os.Getenv("USER"), "author recorded with the change")
	f.BoolVar(&o.json, "json", false, "print JSON")
	o.wait.setFlags(f)
}

// run publishes the services that selectServices returns for the state in force, and waits for them to be in force
// if the -wait flag is set.
func (o *publishOptions) run(
	ctx context.Context, out io.Writer, selectServices func(*intent.State) ([]operator.Service, error),
) subcommands.ExitStatus {
	client := logservice.NewClient(o.platform)
	state, err := ReadState(ctx, client)
	if err != nil {
		return reportFailure(err)
	}
	services, err := selectServices(state)
	if err != nil {
		return reportFailure(err)
	}
	results := publishServices(ctx, client, state, o, services)
	printResults(out, results, o.json)
	if err := errors.Join(resultErrors(results)...); err != nil {
		return reportFailure(err)
	}
	if err := o.wait.waitInForce(ctx, client, results); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// publishServices publishes services one after another. All changes are based on the state at the start. If another
// operator changes a service in the meantime, the change to that service is refused instead of overwriting the other
// one.
func publishServices(
	ctx context.Context, log logservice.Log, state *intent.State, o *publishOptions, services []operator.Service,
) []PublishResult {
	var results []PublishResult
	base := state.Clone()
	for _, service := range services {
		result := PublishResult{Service: service.Name}
		if sameAsInForce(base, service) {
			result.Outcome, result.Revision = outcomeUnchanged, base.CurrentRevision(service.Name)
			results = append(results, result)
			continue
		}
		result.publish(ctx, log, state, base, o, service)
		results = append(results, result)
	}
	return results
}

// publish appends the change of one service, based on its revision in base or on the -base flag, and advances state.
func (r *PublishResult) publish(
	ctx context.Context, log logservice.Log, state, base *intent.State, o *publishOptions, service operator.Service,
) {
	spec, err := intent.EncodeService(service)
	if err != nil {
		r.refuse(err)
		return
	}
	change := newChange(base, o.author, service.Name, spec)
	if o.base != 0 {
		change.Base = logservice.Offset(o.base)
	}
	r.ChangeID = change.ID
	decision, err := appendChange(ctx, log, state, change)
	if err != nil {
		r.Revision = decision.CurrentRevision
		r.refuse(err)
		return
	}
	r.Outcome, r.Revision = outcomeAccepted, decision.Offset
}

func (r *PublishResult) refuse(err error) {
	r.Outcome, r.Error, r.err = outcomeRefused, err.Error(), err
}

func resultErrors(results []PublishResult) []error {
	var errs []error
	for _, r := range results {
		errs = append(errs, r.err)
	}
	return errs
}

// sameAsInForce reports whether service is equal to the service of the same name in state.
func sameAsInForce(state *intent.State, service operator.Service) bool {
	entry := state.Services[service.Name]
	if entry == nil {
		return false
	}
	old, oldErr := intent.EncodeService(entry.Spec)
	wanted, err := intent.EncodeService(service)
	return oldErr == nil && err == nil && old == wanted
}

func printResults(out io.Writer, results []PublishResult, asJSON bool) {
	if asJSON {
		printJSON(out, results)
		return
	}
	for _, r := range results {
		if r.Outcome != outcomeRefused {
			_, _ = fmt.Fprintf(out, "%s: %s, revision %d\n", r.Service, r.Outcome, r.Revision)
		}
	}
}
