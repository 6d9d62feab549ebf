package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/load"
)

const loadUsage = `load -url URL [-rate R] [-duration D] [-count N] [-json | -csv]
  Send requests at due times that do not depend on answers, and report outcomes and latency from the due times.
  Sent = answered + refused + failed. Only loopback addresses, unless -allow-remote is given.
  Exit status: 0 when every request is accounted for, 1 otherwise, 2 for wrong usage.
`

// headerFlags collects request headers given as "Name: value".
type headerFlags map[string]string

func (h headerFlags) String() string { return "" }

func (h headerFlags) Set(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || name == "" {
		return &UsageError{Detail: `a header is given as "Name: value"`}
	}
	h[name] = strings.TrimSpace(value)
	return nil
}

func loadCommand(out io.Writer) subcommands.Command {
	plan := &load.Plan{Header: map[string]string{}}
	var asJSON, asCSV bool
	return &command{
		name: "load", synopsis: "send requests at a fixed rate and report latency", usage: loadUsage,
		setFlags: func(f *flag.FlagSet) {
			planFlags(f, plan)
			f.BoolVar(&asJSON, "json", false, "print JSON")
			f.BoolVar(&asCSV, "csv", false, "print CSV")
		},
		run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
			if err := plan.Validate(); err != nil {
				return reportUsageError(err)
			}
			report, err := runLoad(ctx, plan)
			if err != nil {
				return reportFailure(err)
			}
			write := report.WriteText
			switch {
			case asJSON:
				write = report.WriteJSON
			case asCSV:
				write = report.WriteCSV
			}
			if err := write(out); err != nil {
				return reportFailure(err)
			}
			if !report.Complete() {
				return ExitFailure
			}
			return subcommands.ExitSuccess
		},
	}
}

func planFlags(f *flag.FlagSet, plan *load.Plan) {
	f.StringVar(&plan.URL, "url", "", "URL with an IP address and port")
	f.StringVar(&plan.Method, "method", http.MethodGet, "HTTP method")
	f.StringVar(&plan.Body, "body", "", "request body")
	f.Var(headerFlags(plan.Header), "header", `request header "Name: value"; may be repeated`)
	f.StringVar(&plan.IDHeader, "id-header", "", "header that carries a unique value in each request")
	f.Float64Var(&plan.Rate, "rate", 100, "requests per second")
	f.StringVar((*string)(&plan.Arrival), "arrival", string(load.Poisson), "spacing of requests: fixed, poisson")
	f.IntVar(&plan.Count, "count", 0, "end after this many requests; 0 for no limit")
	f.DurationVar(&plan.Duration, "duration", 10*time.Second, "end after this time")
	f.IntVar(&plan.Connections, "connections", 256, "highest number of requests in flight")
	f.DurationVar(&plan.Timeout, "timeout", 10*time.Second, "longest wait for one answer; travels with the request")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of the due times")
	f.BoolVar(&plan.AllowRemote, "allow-remote", false, "permit addresses other than loopback ones")
}

func runLoad(ctx context.Context, plan *load.Plan) (*load.Report, error) {
	caller, closeCaller, err := load.NewCaller(plan)
	if err != nil {
		return nil, err
	}
	defer closeCaller()
	return load.Run(ctx, plan, caller, printProgress), nil
}

func printProgress(t load.Totals) {
	fmt.Fprintf(os.Stderr, "sent %d, answered %d, refused %d, failed %d, in flight %d\n",
		t.Sent, t.Answered, t.Refused, t.Failed, t.InFlight())
}
