package panicguard

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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

// Guards against a log that a caller can fill: each request that panics would log a stack of some KB.
func TestPanicsOfOneOriginAreLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		log := slog.New(slog.NewTextHandler(&output, nil))
		var g Guard
		entries := func() int { return strings.Count(output.String(), "Recovered from a panic.") }
		fault := func() { panic("fault") }
		for range 100 {
			g.Run(log, "request", fault)
		}
		if entries() != 1 || g.Panics() != 100 {
			t.Errorf("%d entries for %d panics, want 1 for 100", entries(), g.Panics())
		}
		g.Run(log, "request", func() { panic("another fault") })
		if entries() != 2 {
			t.Error("a panic of another origin was not logged")
		}
		time.Sleep(logInterval)
		if g.Run(log, "request", fault); entries() != 3 || !strings.Contains(output.String(), "unlogged=99") {
			t.Errorf("%d entries after another second, want 3, of which the last names 99 panics that were not logged", entries())
		}
		for i := range 10 * maxOrigins {
			g.logDue(fmt.Sprint(i), time.Now())
		}
		if len(g.origins) > maxOrigins+1 {
			t.Errorf("%d origins are remembered, want at most %d", len(g.origins), maxOrigins+1)
		}
	})
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
