package e2e

import (
	"bytes"
	"flag"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"github.com/basillink/basillink/internal/daemoncli"
)

// Guards against settings that are validated only after a port was opened. The caller address is in use, so a late check
// would fail with that error instead of reporting the invalid setting and exiting with status 2.
func TestBadSettingsFailBeforeListening(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":  {"[platform]", "[drain]\nlimit = 5\n[platform]", "drain.limit: "},
		"out of range": {"[platform]", "[drain]\nlimit_ms = -1\n[platform]", `drain.limit_ms: value "-1" is not accepted; accepted: 0 to 86400000`},
		"wrong unit":   {"[platform]", "[drain]\nlimit_ms = \"5s\"\n[platform]", `drain.limit_ms: value "\"5s\"" is not accepted; accepted: integer: 0 to 86400000`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addresses := freeAddresses(t, 4)
			listener, err := net.Listen("tcp", addresses[1])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			file := writeSettings(t, "i1", addresses[0], addresses[1:4])
			replaceInFile(t, file, c.old, c.new)
			status, log := runToExit(t, file)
			if status != 2 || !strings.Contains(log, file+": "+c.want) {
				t.Fatalf("exit status %d, log:\n%s", status, log)
			}
		})
	}
}

func replaceInFile(t testing.TB, file, old, replacement string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err == nil {
		err = os.WriteFile(file, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a check command that accepts or rejects other settings than run does.
func TestCheckSettings(t *testing.T) {
	addresses := freeAddresses(t, 4)
	file := writeSettings(t, "i1", addresses[0], addresses[1:4])
	var out, errOut bytes.Buffer
	check := func() subcommands.ExitStatus {
		for _, command := range daemoncli.Commands(&out, &errOut) {
			if command.Name() == "check" {
				flags := flag.NewFlagSet("check", flag.ContinueOnError)
				command.SetFlags(flags)
				if err := flags.Parse([]string{"-settings", file}); err != nil {
					t.Fatal(err)
				}
				return command.Execute(t.Context(), flags)
			}
		}
		t.Fatal("the daemon has no check command")
		return subcommands.ExitFailure
	}
	if status := check(); status != subcommands.ExitSuccess || !strings.Contains(out.String(), "settings of instance i1, valid") {
		t.Fatalf("status %d, output %q %q", status, &out, &errOut)
	}
	replaceInFile(t, file, `id = "i1"`, `id = "I1"`)
	if status := check(); status != subcommands.ExitUsageError || !strings.Contains(errOut.String(), `instance.id: value "I1"`) {
		t.Fatalf("status %d, output %q", status, &errOut)
	}
}
