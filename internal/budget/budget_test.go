package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/operator"
)

// process is one run of an instance. Its monotonic clock starts at zero with the process.
type process struct {
	started   time.Duration
	resumesAt time.Duration
	allowance *Allowance
}

type charge struct {
	at    time.Duration
	bytes int
}

// fleet runs processes under random faults. Time is the time of an outside observer.
type fleet struct {
	random    *rand.Rand
	measuring operator.Measuring
	max       int
	now       time.Duration
	processes []*process
	charges   []charge
}

func (f *fleet) start() *process {
	return &process{started: f.now, allowance: New(f.measuring, f.max, 0)}
}

// step lets time pass and then runs one event: a replacement, a restart, a pause or a burst of attempts to spend.
func (f *fleet) step() {
	f.now += time.Duration(f.random.Int64N(int64(120 * time.Millisecond)))
	p := f.processes[f.random.IntN(len(f.processes))]
	switch f.random.IntN(60) {
	case 0:
		f.replace(p)
	case 1:
		*p = *f.start()
	case 2:
		p.resumesAt = f.now + time.Duration(f.random.Int64N(int64(3*Window)))
	case 3:
		p.allowance.Resize(f.measuring, f.max)
	default:
		f.burst(p)
	}
}

// replace starts a successor beside a process while fewer than the agreed number of processes run, and ends the
// process otherwise. The list of instances is not asked, because it lags.
func (f *fleet) replace(p *process) {
	if len(f.processes) < f.max {
		f.processes = append(f.processes, f.start())
		return
	}
	if f.max == 1 {
		*p = *f.start()
		return
	}
	f.processes = slices.DeleteFunc(f.processes, func(q *process) bool { return q == p })
}

// burst spends as fast as the allowance permits, with answers that may be lost.
func (f *fleet) burst(p *process) {
	if f.now < p.resumesAt {
		return
	}
	for range f.random.IntN(12) {
		bytes := 1 + f.random.IntN(2*ProbeBytes)
		if p.allowance.Spend(f.now-p.started, bytes) {
			f.charges = append(f.charges, charge{at: f.now, bytes: bytes})
		}
	}
}

// Guards G1 against restarts in a loop, replacements beside their predecessors, pauses and a lagging instance list:
// in no window do all processes together spend more than the budget.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	spent := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := &fleet{random: random, max: 1 + random.IntN(6)}
		f.measuring.ProbesPerSecond = 0.5 + 20*random.Float64()
		f.measuring.BytesPerSecond = f.measuring.ProbesPerSecond * ProbeBytes * (0.5 + random.Float64())
		f.processes = []*process{f.start()}
		for range 1500 {
			f.step()
		}
		checkWindows(t, seed, f)
		spent += len(f.charges)
	}
	if spent == 0 {
		t.Error("nothing was spent, so the test proves nothing")
	}
}

// checkWindows checks the windows that end with a charge, which include the fullest one.
func checkWindows(t *testing.T, seed uint64, f *fleet) {
	t.Helper()
	first, bytes := 0, 0
	for i, c := range f.charges {
		bytes += c.bytes
		for c.at-f.charges[first].at > Window {
			bytes -= f.charges[first].bytes
			first++
		}
		probes := float64(i - first + 1)
		if probes > 10*f.measuring.ProbesPerSecond || float64(bytes) > 10*f.measuring.BytesPerSecond {
			t.Fatalf("seed %d: %v probes and %d bytes in the window that ends at %v, budget %+v", seed, probes, bytes, c.at, f.measuring)
		}
	}
}

// Guards against an allowance that never lets a process measure, and against spending in the first window.
func TestAllowanceIsUsableAfterOneWindow(t *testing.T) {
	a := New(operator.Measuring{ProbesPerSecond: 400, BytesPerSecond: 160_000}, 40, 0)
	for at := time.Duration(0); at < Window; at += 100 * time.Millisecond {
		if a.Spend(at, ProbeBytes) {
			t.Fatalf("spent %v after the start", at)
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
		t.Error("the window does not slide")
	}
}

// Guards against probing that goes on without requests.
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
