// Package standintest starts stand-ins for the duration of a test.
package standintest

import (
	"sync"
	"testing"

	"github.com/basillink/basillink/internal/standin"
)

// StartTarget starts a target with a number of slots and stops it when the test ends. The address may have port 0.
func StartTarget(t testing.TB, address string, slots int) *standin.Target {
	t.Helper()
	target, err := standin.NewTarget(address, slots)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = target.Run() })
	t.Cleanup(func() {
		_ = target.Close()
		running.Wait()
	})
	return target
}
