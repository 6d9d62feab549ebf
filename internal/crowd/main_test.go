//go:build !race

package crowd

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/basillink/basillink/internal/daemoncli"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/internal/testprocess"
)

// roleVariable is the environment variable that makes a copy of the test binary run an instance. Its value is the command of
// basillinkd, followed by a space and the settings file.
const roleVariable = "BASILLINK_CROWD_ROLE"

func TestMain(m *testing.M) {
	command, file, isInstance := strings.Cut(os.Getenv(roleVariable), " ")
	if !isInstance {
		telemetry.RedirectServerLogs(slog.New(slog.DiscardHandler))
		os.Exit(m.Run())
	}
	testprocess.ExitWithParent()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if command == "edge" {
		os.Exit(int(daemoncli.RunEdge(ctx, os.Stdout, os.Stderr, file)))
	}
	os.Exit(int(daemoncli.Run(ctx, os.Stderr, file)))
}
