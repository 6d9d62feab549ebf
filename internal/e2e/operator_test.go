package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/client"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/operator"
)

// runClientCommand runs a command of the operators' client and returns its exit status and its output.
func runClientCommand(t *testing.T, arguments ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out bytes.Buffer
	flags := flag.NewFlagSet("basillink", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "basillink")
	for _, command := range client.Commands(&out) {
		commander.Register(command, "")
	}
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	return commander.Execute(context.Background()), out.String()
}

func writeIntent(t *testing.T, s operator.Service) string {
	t.Helper()
	text, err := intent.EncodeService(s)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "intent.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against client commands whose exit status does not reflect their result, and against publish -wait returning before
// the change is in force on all listed instances.
func TestOperatorsCommands(t *testing.T) {
	f := newTestFleet(t, 3)
	drained, remaining := f.startTarget(), f.startTarget()
	f.startAll()
	file := func(slots int) string {
		return writeIntent(t, fleetService("flightdesk", slots, drained.Address(), remaining.Address()))
	}
	run := func(want subcommands.ExitStatus, arguments ...string) string {
		t.Helper()
		arguments = append([]string{arguments[0], "-platform", f.address}, arguments[1:]...)
		status, out := runClientCommand(t, arguments...)
		if status != want {
			t.Fatalf("%v: exit status %d, want %d: %s", arguments, status, want, out)
		}
		return out
	}
	run(subcommands.ExitSuccess, "publish", "-wait", file(4))
	for i := range f.instances {
		if !f.hasRevision(i, 1) {
			t.Errorf("publish -wait returned before instance %d had the revision in force", i)
		}
	}
	var results []client.PublishResult
	if err := json.Unmarshal([]byte(run(subcommands.ExitSuccess, "publish", "-json", file(4))), &results); err != nil {
		t.Fatal(err)
	}
	if len(results) != 1 || results[0].Outcome != "unchanged" || results[0].Revision != 1 {
		t.Errorf("publishing the same file again: got %+v, want one result unchanged at revision 1", results)
	}
	run(subcommands.ExitSuccess, "publish", "-base", "1", file(5))
	run(client.ExitConflict, "publish", "-base", "1", file(6))
	run(subcommands.ExitUsageError, "publish", filepath.Join(t.TempDir(), "missing.toml"))
	run(subcommands.ExitUsageError, "publish")

	var diffs []client.ServiceDiff
	if err := json.Unmarshal([]byte(run(subcommands.ExitSuccess, "diff", "-json", file(7))), &diffs); err != nil {
		t.Fatal(err)
	}
	if len(diffs) != 1 || diffs[0].Revision != 2 || diffs[0].Diff == "" {
		t.Errorf("diff: got %+v, want one non-empty diff against revision 2", diffs)
	}
	run(subcommands.ExitFailure, "drain", "127.0.0.1:9")
	run(subcommands.ExitSuccess, "drain", "-wait", drained.Address())
	for i := range f.instances {
		before := executions(drained)
		for range 10 {
			f.lookup(i, "drained")
		}
		if executions(drained) != before {
			t.Errorf("instance %d sent requests to a drained target", i)
		}
	}
	var history []client.HistoryEntry
	if err := json.Unmarshal([]byte(run(subcommands.ExitSuccess, "history", "-json")), &history); err != nil {
		t.Fatal(err)
	}
	verdicts := []intent.Verdict{intent.Accepted, intent.Accepted, intent.Conflict, intent.Accepted}
	changes := 0
	for _, e := range history {
		if changes < len(verdicts) && e.Verdict != verdicts[changes] {
			t.Errorf("change %d is %s, want %s", changes, e.Verdict, verdicts[changes])
		}
		changes++
	}
	if changes != len(verdicts) {
		t.Errorf("%d changes in the history, want %d", changes, len(verdicts))
	}
	pauseProcess(t, f.instances[2].command)
	run(client.ExitNotInForce, "publish", "-wait", "-timeout", "1s", file(8))
	f.signal(2, syscall.SIGCONT)
	f.log.SetFaults(standin.LogFaults{Down: true})
	run(subcommands.ExitFailure, "publish", file(9))
}
