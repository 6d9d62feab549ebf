package panicguard

import (
	"bytes"
	"errors"
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

// Guards against a panic of a decoder that is not returned as an error, or whose error does not tell where it occurred.
func TestCatchReturnsPanics(t *testing.T) {
	before := Caught()
	var list []byte
	err := Catch(func() error {
		_ = list[len(list)]
		return nil
	})
	var panicked *Error
	if !errors.As(err, &panicked) || Caught() != before+1 {
		t.Fatalf("error %v, %d panics counted, want an *Error and 1", err, Caught()-before)
	}
	if text := err.Error(); !strings.Contains(text, "index out of range") || !strings.Contains(text, "panicguard_test.go:") {
		t.Errorf("the error lacks the panic value or its origin: %q", text)
	}
	want := errors.New("malformed")
	if err := Catch(func() error { return want }); err != want || Caught() != before+1 {
		t.Errorf("error %v of a function that did not panic, want %v", err, want)
	}
}
