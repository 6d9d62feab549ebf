package panicguard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a panic that ends the process, and against one that nobody sees.
func TestGuardSurvivesAndTells(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var g Guard
	if g.Run(log, "datagram", func() { panic("index out of range") }) {
		t.Error("a panic counts as success")
	}
	if !g.Run(log, "datagram", func() {}) || g.Panics() != 1 {
		t.Errorf("%d panics", g.Panics())
	}
	if text := out.String(); !strings.Contains(text, "index out of range") || !strings.Contains(text, "panicguard_test.go") {
		t.Errorf("the log says %q", text)
	}
}
