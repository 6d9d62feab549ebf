package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/operator"
)

// process is one run of an instance. Its monotonic clock starts at zero.
type process struct {
	startedAt time.Duration
	resumesAt time.Duration
	allowance *Allowance
}

type charge struct {
	at    time.Duration
	bytes int
}

// simulation runs the processes of a fleet under random faults. Its times are those of an outside observer.
type simulation struct {
	random       *rand.Rand
	measuring    operator.Measuring
	maxInstances int
	now          time.Duration
	processes    []*process
	charges      []charge
}

func (s *simulation) startProcess() *process {
	return &process{startedAt: s.now, allowance: New(s.measuring, s.maxInstances, 0)}
}

// step advances the time and runs one random event: a replacement, a restart, a pause, a resize or a burst of
// measurements.
func (s *simulation) step() {
	s.now += time.Duration(s.random.Int64N(int64(120 * time.Millisecond)))
	p := s.processes[s.random.IntN(len(s.processes))]
	switch s.random.IntN(60) {
	case 0:
		s.replace(p)
	case 1:
		*p = *s.startProcess()
	case 2:
		p.resumesAt = s.now + time.Duration(s.random.Int64N(int64(3*Window)))
	case 3:
		p.allowance.Resize(s.measuring, s.maxInstances)
	default:
		s.burst(p)
	}
}

// replace starts a successor next to a process if fewer than maxInstances processes run, and ends the process otherwise. It
// does not consult a list of instances, because such a list lags.
func (s *simulation) replace(p *process) {
	if len(s.processes) < s.maxInstances {
		s.processes = append(s.processes, s.startProcess())
		return
	}
	if s.maxInstances == 1 {
		*p = *s.startProcess()
		return
	}
	s.processes = slices.DeleteFunc(s.processes, func(q *process) bool { return q == p })
}

// burst charges up to 11 measurements at once, unless the process is paused.
// A charge counts whether or not an answer arrives.
func (s *simulation) burst(p *process) {
	if s.now < p.resumesAt {
		return
	}
	for range s.random.IntN(12) {
		bytes := 1 + s.random.IntN(2*ProbeBytes)
		if p.allowance.Spend(s.now-p.startedAt, bytes) {
			s.charges = append(s.charges, charge{at: s.now, bytes: bytes})
		}
	}
}

// Guards against all processes together spending more than the budget in any window (G1 in docs/guarantees.md), under
// restarts in a loop, successors that overlap with their predecessors, pauses and a lagging instance list.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	spent := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := &simulation{random: random, maxInstances: 1 + random.IntN(6)}
		s.measuring.ProbesPerSecond = 0.5 + 20*random.Float64()
		s.measuring.BytesPerSecond = s.measuring.ProbesPerSecond * ProbeBytes * (0.5 + random.Float64())
		s.processes = []*process{s.startProcess()}
		for range 1500 {
			s.step()
		}
		checkWindows(t, seed, s)
		spent += len(s.charges)
	}
	if spent == 0 {
		t.Error("no measurement was permitted in any run")
	}
}

// checkWindows checks every window that ends with a charge. One of these is the fullest of all windows.
func checkWindows(t *testing.T, seed uint64, s *simulation) {
	t.Helper()
	first, bytes := 0, 0
	for i, c := range s.charges {
		bytes += c.bytes
		for c.at-s.charges[first].at > Window {
			bytes -= s.charges[first].bytes
			first++
		}
		probes := float64(i - first + 1)
		if probes > 10*s.measuring.ProbesPerSecond || float64(bytes) > 10*s.measuring.BytesPerSecond {
			t.Fatalf("seed %d: %v probes and %d bytes in the window that ends at %v exceed the budget %+v", seed, probes, bytes, c.at, s.measuring)
		}
	}
}

// Guards against an allowance that permits nothing after the first window, or something in it.
func TestAllowanceIsUsableAfterOneWindow(t *testing.T) {
	a := New(operator.Measuring{ProbesPerSecond: 400, BytesPerSecond: 160_000}, 40, 0)
	for at := time.Duration(0); at < Window; at += 100 * time.Millisecond {
		if a.Spend(at, ProbeBytes) {
			t.Fatalf("a measurement was permitted %v after the start", at)
		}
	}
	permitted := 0
	for range 1000 {
		if a.Spend(Window, ProbeBytes) {
			permitted++
		}
	}
	if permitted != 100 {
		t.Errorf("%d probes in the second window, want 100", permitted)
	}
	if a.Spend(2*Window, ProbeBytes) || !a.Spend(2*Window+1, ProbeBytes) {
		t.Error("a charge must count for exactly one window")
	}
}

// Guards against a rate of measurements that does not follow the rate of requests.
func TestRateFollowsRequests(t *testing.T) {
	var r Rate
	total := 0
	for range 1000 {
		total += r.Earn(0.25)
	}
	if total != 250 {
		t.Errorf("%d measurements for 1,000 requests, want 250", total)
	}
}
