package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

func findBuilder(t testing.TB, name string) balancer.Builder {
	t.Helper()
	b, ok := balancer.Find(name)
	if !ok {
		t.Fatalf("no policy %q", name)
	}
	return b
}

// Guards against nondeterminism, such as shared state or the iteration order of a map, in the model or a policy: two runs
// with the same seed must give the same report.
func TestRunReplaysExactly(t *testing.T) {
	for _, b := range balancer.Builders() {
		s := Flightdesk()
		s.Seed, s.Length, s.Builder, s.ProbesPerRequest = 7, 1500*time.Millisecond, b, 0.25
		first, second := Run(s), Run(s)
		for _, q := range []float64{0.5, 0.99, 0.999, 1} {
			if first.Quantile(q) != second.Quantile(q) {
				t.Errorf("%s: quantile %v is %v and %v", b.Name(), q, first.Quantile(q), second.Quantile(q))
			}
		}
		if first.Requests != second.Requests || first.probes != second.probes {
			t.Errorf("%s: %d and %d requests, %d and %d probes", b.Name(),
				first.Requests, second.Requests, first.probes, second.probes)
		}
	}
}

// Guards against a wrong simulation of the targets: one target with one slot is an M/M/1 queue, whose mean time in the
// system is the service time divided by the idle fraction. That time is exponentially distributed.
func TestRunMatchesQueueingTheory(t *testing.T) {
	s := Flightdesk()
	s.Instances, s.Targets, s.Slots, s.SlowShare, s.ResultDelay = 1, 1, 1, 0, 0
	s.Length = 400 * time.Second
	row := Measure(s, 4)
	median := 13.86 // ms: 5 ms / 0.25 * ln 2
	if row.P50.Mean < median*0.85 || row.P50.Mean > median*1.15 {
		t.Errorf("median %.2f ms, want about %.2f ms", row.P50.Mean, median)
	}
}

// Guards against a number of probes per request that differs from the setting.
func TestProbesFollowRequests(t *testing.T) {
	s := Flightdesk()
	s.Length, s.Builder, s.ProbesPerRequest = 3*time.Second, findBuilder(t, balancer.NameProbing), 0.25
	report := Run(s)
	if got := report.ProbesPerRequest(); got < 0.24 || got > 0.26 {
		t.Errorf("%.3f probes per request, want 0.25", got)
	}
}
