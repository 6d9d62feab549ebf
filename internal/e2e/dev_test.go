package e2e

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/devmode"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/internal/testwait"
)

// runDev runs development mode. The argument holds the caller, admin, peer and platform addresses.
func runDev(ctx context.Context, argument string) {
	f := strings.Fields(argument)
	addresses := devmode.Addresses{Caller: f[0], Admin: f[1], Peer: f[2], Platform: f[3]}
	exitOnError(devmode.Run(ctx, addresses, os.Stdout, telemetry.NewLogger(os.Stderr, "warn", "text")))
	os.Exit(0)
}

var curlLine = regexp.MustCompile(`curl -i 'http://127\.0\.0\.1:8080(/[^']*)'`)

// readmeExamples returns the request paths of the curl commands in the README.
func readmeExamples(t *testing.T) []string {
	t.Helper()
	file, err := os.Open("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var paths []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if match := curlLine.FindStringSubmatch(scanner.Text()); match != nil {
			paths = append(paths, match[1])
		}
	}
	return paths
}

// Guards against example commands in the README that fail, and against development mode hanging when it is stopped.
func TestDevelopmentMode(t *testing.T) {
	addresses := freeAddresses(t, 4)
	process := startProcess(t, "dev "+strings.Join(addresses, " "))
	examples := readmeExamples(t)
	if len(examples) == 0 {
		t.Fatal("the README has no curl example")
	}
	paths := append(examples, "/airlog/logs/7", "/banco-app/stock?size=3", "/volontari-report/summaries/today")
	for _, path := range paths {
		testwait.Until(t, "an answer to "+path, func() bool {
			a := <-getAsync(addresses[0], path)
			return a.status == http.StatusOK && a.outcome == "done"
		})
	}
	terminate(t, process)
	if err := process.Wait(); err != nil {
		t.Fatalf("development mode exited with %v", err)
	}
}

// Guards against development mode listening on an address that other hosts can reach.
func TestDevelopmentModeRefusesNonLoopbackAddresses(t *testing.T) {
	addresses := devmode.DefaultAddresses()
	addresses.Caller = "0.0.0.0:8080"
	if err := addresses.Validate(); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Fatalf("checking the address %s: got error %v, want one about loopback", addresses.Caller, err)
	}
}
