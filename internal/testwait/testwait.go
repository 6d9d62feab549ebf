// Package testwait lets tests wait for a condition.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the interval at which Until polls its condition.
const pollInterval = 5 * time.Millisecond

// timeout bounds the wait of Until. Starting 20 processes took 3.7 s on a machine with a load average of 94.
const timeout = 15 * time.Second

// Until polls check until it returns true. If it does not within 15 s, Until fails the test with t.Fatalf, so it must be
// called from the goroutine that runs the test. The parameter what describes the condition in the failure message.
func Until(t testing.TB, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if check() {
			return
		}
	}
	t.Fatalf("waiting for %s: timed out after %s", what, timeout)
}
