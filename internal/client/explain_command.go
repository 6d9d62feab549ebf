package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/admin"
)

// ExitRefused is the exit status of the explain command for a request that would be refused.
const ExitRefused = subcommands.ExitStatus(5)

const explainUsage = `explain [-admin ADDRESS] [-service NAME] [-method METHOD] [-class NAME] [-json] URI
  Say where an instance would send a request now, or why it would refuse it. Nothing is sent to a target.
  URI is the path and query that a caller sends; without -service its first segment names the service.
  Exit status: 0 when the request would be sent, 5 when it would be refused, 1 on failure, 2 for wrong usage.
`

// Explain asks the admin listener at address where a request would be sent. If service is empty, the first path segment
// of uri names it.
func Explain(ctx context.Context, address, service, method, class, uri string) (*admin.Explanation, error) {
	query := url.Values{"service": {service}, "method": {method}, "class": {class}, "uri": {uri}}
	var e admin.Explanation
	if err := getAdminJSON(ctx, address, "/explain?"+query.Encode(), &e); err != nil {
		return nil, err
	}
	return &e, nil
}

func explainCommand(out io.Writer) subcommands.Command {
	var address, service, method, class string
	var asJSON bool
	return &command{
		name: "explain", synopsis: "say where a request would go, or why it would be refused", usage: explainUsage,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&address, "admin", "127.0.0.1:8081", "admin address of the instance")
			f.StringVar(&service, "service", "", "value of Basillink-Service")
			f.StringVar(&method, "method", http.MethodGet, "HTTP method")
			f.StringVar(&class, "class", "", "value of Basillink-Class")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if f.NArg() != 1 || !strings.HasPrefix(f.Arg(0), "/") {
				return reportUsageError(&UsageError{Detail: "exactly one URI that starts with / is expected"})
			}
			e, err := Explain(ctx, address, service, method, class, f.Arg(0))
			if err != nil {
				return reportFailure(err)
			}
			printExplanation(out, e, asJSON)
			if e.Refusal != "" {
				return ExitRefused
			}
			return subcommands.ExitSuccess
		},
	}
}

func printExplanation(out io.Writer, e *admin.Explanation, asJSON bool) {
	if asJSON {
		printJSON(out, e)
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "instance %s: %s %s of service %q\n", e.Instance, e.Method, e.URI, e.Service)
	if c := e.Class; c != nil {
		fmt.Fprintf(&b, "class %s at revision %d: repeatable=%t needs_ticket=%t priority=%d timeout_ms=%d long=%t\n",
			c.Name, e.Revision, c.Repeatable, c.NeedsTicket, c.Priority, c.TimeoutMS, c.Long)
	}
	for _, t := range e.Candidates {
		fmt.Fprintf(&b, "may receive it: %s zone=%s same_zone=%t\n", t.Address, t.Zone, t.SameZone)
	}
	for _, t := range e.Excluded {
		fmt.Fprintf(&b, "excluded: %s zone=%s: %s\n", t.Address, t.Zone, t.ExclusionReason)
	}
	if e.Refusal != "" {
		fmt.Fprintf(&b, "refused: %s: %s\n", e.Refusal, e.Help)
	}
	_, _ = io.WriteString(out, b.String())
}
