// Package testwait waits in tests.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the pause between two looks of Until.
const pollInterval = 5 * time.Millisecond

// limit bounds Until. A start of 20 processes took 3.7 s on a machine with a load average of 94.
const limit = 15 * time.Second

// Until waits until check succeeds, and fails the test when it does not within 15 s.
func Until(t testing.TB, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if check() {
			return
		}
	}
	t.Fatalf("%s did not happen within %s", what, limit)
}
