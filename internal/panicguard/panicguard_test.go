package panicguard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a panic that terminates the process, or that is neither counted nor logged.
func TestGuardRecoversAndLogs(t *testing.T) {
	var output bytes.Buffer
	log := slog.New(slog.NewTextHandler(&output, nil))
	var g Guard
	if g.Run(log, "datagram", func() { panic("index out of range") }) {
		t.Error("Run reported success after a panic")
	}
	if !g.Run(log, "datagram", func() {}) || g.Panics() != 1 {
		t.Errorf("a run without a panic failed, or %d panics were counted, want 1", g.Panics())
	}
	if text := output.String(); !strings.Contains(text, "index out of range") || !strings.Contains(text, "panicguard_test.go") {
		t.Errorf("the log entry lacks the panic value or the stack: %q", text)
	}
}
