package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/standin"
)

// Guards against subsets that are drawn before an instance knows the others and then stay: once the lists are the same,
// no target is used by more instances than it has connections, one of which is left for checks.
func TestSubsetsFollowTheInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := standin.NewLog()
		spec := flightdesk
		for i := range 7 {
			spec += fmt.Sprintf("[[service.target]]\naddress = \"127.0.0.1:%d\"\nzone = \"tz-north-a\"\n", 8081+i)
		}
		spec = spec[:len("\n[[service]]\n")] + "connections_per_target = 2\nmax_instances = 4\n" + spec[len("\n[[service]]\n"):]
		appendService(t, log, &intent.Change{ID: "1", Service: "flightdesk", Spec: spec})
		var known atomic.Pointer[[]string]
		known.Store(&[]string{})
		loops := make([]*Loop, 4)
		for i := range loops {
			loops[i] = New("tz-north-a", balancer.TwoChoices{}, quiet)
			loops[i].Self, loops[i].Members = fmt.Sprintf("i%d", i), func() []string { return *known.Load() }
			go loops[i].Run(ctx)
			go (&Reader{Log: log, Loop: loops[i], Random: newRandom(), Logger: quiet}).Run(ctx)
		}
		time.Sleep(2500 * time.Millisecond)
		known.Store(&[]string{"i2", "i0", "i3", "i1", "i1"})
		time.Sleep(2 * time.Second)
		counts := map[string]int{}
		for _, loop := range loops {
			for _, target := range loop.Snapshot().Services["flightdesk"].Targets {
				counts[target.Address]++
			}
		}
		if len(counts) != 8 {
			t.Errorf("4 instances with 2 targets each use %d of 8 targets, want each once: %v", len(counts), counts)
		}
	})
}
