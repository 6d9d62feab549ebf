// Package standintest runs the fakes of package standin for the duration of a test.
package standintest

import (
	"sync"
	"testing"

	"github.com/basillink/basillink/internal/standin"
)

// StartTarget starts a fake target with a number of slots and stops it when the test ends. The address has the form
// host:port; port 0 selects a free port.
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
