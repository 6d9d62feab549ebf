package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

func builder(t testing.TB, name string) balancer.Builder {
	t.Helper()
	b, ok := balancer.Find(name)
	if !ok {
		t.Fatalf("no policy %q", name)
	}
	return b
}

// Guards against hidden state or map order in the model or a policy: a seed replays exactly.
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

// Guards against a model whose targets do not work: one target with one slot is an M/M/1 queue, whose mean time
// in the system is the service time over the idle share.
func TestRunMatchesQueueingTheory(t *testing.T) {
	s := Flightdesk()
	s.Instances, s.Targets, s.Slots, s.SlowShare, s.ResultDelay = 1, 1, 1, 0, 0
	s.Length = 400 * time.Second
	row := Measure(s, 4)
	median := 13.86 // 5 ms / 0.25 * ln 2
	if row.P50.Mean < median*0.85 || row.P50.Mean > median*1.15 {
		t.Errorf("median %.2f ms, want about %.2f ms", row.P50.Mean, median)
	}
}

// Guards against probes that exceed the rate per request.
func TestProbesFollowRequests(t *testing.T) {
	s := Flightdesk()
	s.Length, s.Builder, s.ProbesPerRequest = 3*time.Second, builder(t, balancer.NameProbing), 0.25
	report := Run(s)
	if got := report.ProbesPerRequest(); got < 0.24 || got > 0.26 {
		t.Errorf("%.3f probes per request, want 0.25", got)
	}
}
