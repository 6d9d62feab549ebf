package client

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

// HistoryEntry is one change in the log and the decision on it.
type HistoryEntry struct {
	// Offset is the offset of the change in the log, which is its revision if it was accepted.
	Offset  logservice.Offset `json:"offset"`
	Service string            `json:"service"`
	Author  string            `json:"author"`
	Verdict intent.Verdict    `json:"verdict"`
	// Base is the revision on which the author made the change.
	Base     logservice.Offset `json:"base"`
	ChangeID string            `json:"change"`
	// Removal is true for a change that removes the service.
	Removal bool `json:"removal,omitempty"`
}

func historyCommand(out io.Writer) subcommands.Command {
	var address, service string
	var asJSON bool
	return &command{
		name: "history", synopsis: "show the changes that the log retains",
		usage: "history [-platform ADDRESS] [-service NAME] [-json]\n",
		setFlags: func(f *flag.FlagSet) {
			platformFlag(f, &address)
			f.StringVar(&service, "service", "", "show only this service")
			f.BoolVar(&asJSON, "json", false, "print JSON")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if f.NArg() != 0 {
				return reportUsageError(&UsageError{Detail: "no argument is expected"})
			}
			entries, err := History(ctx, logservice.NewClient(address), service)
			if err != nil {
				return reportFailure(err)
			}
			printHistory(out, entries, asJSON)
			return subcommands.ExitSuccess
		},
	}
}

// History returns the changes that the log retains and the decisions on them, in the order of the log. An empty service
// name selects all services.
func History(ctx context.Context, log logservice.Log, service string) ([]HistoryEntry, error) {
	entries := []HistoryEntry{}
	err := foldLog(ctx, log, intent.NewFold(), func(d intent.Decision) bool {
		if d.Change != nil && (service == "" || d.Change.Service == service) {
			entries = append(entries, HistoryEntry{
				Offset:   d.Offset,
				Service:  d.Change.Service,
				Author:   d.Change.Author,
				Verdict:  d.Verdict,
				Base:     d.Change.Base,
				ChangeID: d.Change.ID,
				Removal:  d.Change.Spec == "",
			})
		}
		return false
	})
	return entries, err
}

func printHistory(out io.Writer, entries []HistoryEntry, asJSON bool) {
	if asJSON {
		printJSON(out, entries)
		return
	}
	for _, e := range entries {
		_, _ = fmt.Fprintf(out, "%d %s %s author=%q base=%d change=%s\n", e.Offset, e.Service, e.Verdict, e.Author, e.Base, e.ChangeID)
	}
}
