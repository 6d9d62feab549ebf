package e2e

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/basillink/basillink/internal/daemoncli"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/standin"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/internal/testprocess"
)

// roleVariable is the environment variable that selects what a copy of the test binary runs instead of the tests. Its value
// is a role, followed by a space and the role's argument.
const roleVariable = "BASILLINK_TEST_ROLE"

func TestMain(m *testing.M) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if os.Getenv(roleVariable) != "" {
		testprocess.ExitWithParent()
	}
	switch role, argument, _ := strings.Cut(os.Getenv(roleVariable), " "); role {
	case "":
		// This must precede the first server: a running server reads the library's logger without a lock.
		telemetry.RedirectServerLogs(slog.New(slog.DiscardHandler))
		os.Exit(m.Run())
	case "daemon":
		runDaemon(ctx, argument)
	case "partitioned-daemon":
		runPartitionedDaemon(ctx, argument)
	case "dev":
		runDev(ctx, argument)
	case "platform":
		runPlatform(ctx, argument)
	case "target":
		runTarget(ctx, argument)
	}
}

func runDaemon(ctx context.Context, file string) {
	os.Exit(int(daemoncli.Run(ctx, os.Stderr, file)))
}

// runPlatform serves a log and a list of instances until ctx is done. The argument holds the platform's address and, separated
// by spaces, the listed instances as "id=admin address" or "id=admin address=peer address".
func runPlatform(ctx context.Context, argument string) {
	fields := strings.Fields(argument)
	list := standin.NewInstanceList(0)
	var instances []logservice.ListedInstance
	for _, field := range fields[1:] {
		id, listeners, _ := strings.Cut(field, "=")
		adminAddress, peerAddress, _ := strings.Cut(listeners, "=")
		instances = append(instances, logservice.ListedInstance{
			ID: id, AdminAddress: adminAddress, PeerAddress: peerAddress, State: logservice.ListedLive,
		})
	}
	list.Set(instances)
	server := standin.NewPlatformServer(fields[0], standin.NewLog(), list)
	go func() { exitOnError(server.Run()) }()
	<-ctx.Done()
}

func runTarget(ctx context.Context, address string) {
	target, err := standin.NewTarget(address, 6)
	exitOnError(err)
	target.OnCrash = func() { os.Exit(1) }
	go func() { exitOnError(target.Run()) }()
	<-ctx.Done()
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// startProcess starts a copy of the test binary in the given role, with its argument, and kills it when the test ends.
func startProcess(t testing.TB, role string) *exec.Cmd {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+role)
	return startCommand(t, command)
}

// startCommand starts a command in its own process group and kills it when the test ends.
func startCommand(t testing.TB, command *exec.Cmd) *exec.Cmd {
	t.Helper()
	command.Stderr = os.Stderr
	testprocess.SetOwnProcessGroup(command)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}
