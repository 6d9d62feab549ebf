package balancer

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// respond gives requests to a policy for a while and answers them with the verdict of each target. It returns the
// number of requests of each target.
func respond(p Policy, targets int, from, until time.Duration, verdict func(target int) ResultKind) []int {
	counts := make([]int, targets)
	random := uint64(from)
	for now := from; now < until; now += time.Millisecond {
		target, ok := p.Pick(Request{Now: now, Random: mix(&random)})
		if !ok {
			continue
		}
		counts[target]++
		p.Started(target, now)
		p.Finished(target, Result{Now: now + time.Millisecond, Elapsed: time.Millisecond, Kind: verdict(target), Load: NoLoadReport})
	}
	return counts
}

func failing(first, last int) func(int) ResultKind {
	return func(target int) ResultKind {
		if target >= first && target <= last {
			return Shed
		}
		return Answered
	}
}

// Guards F3: a target that refuses everything is ejected by every policy and comes back through a trickle.
func TestEjectionAndReadmission(t *testing.T) {
	for _, b := range Builders() {
		p := fleet(b, 10, 1)[0]
		respond(p, 10, 0, time.Second, failing(0, 0))
		if refused := respond(p, 10, time.Second, 3*time.Second, failing(0, 0))[0]; refused > 20 {
			t.Errorf("%s: a refusing target received %d of 2,000 requests", b.Name(), refused)
		}
		respond(p, 10, 3*time.Second, 15*time.Second, failing(-1, -1))
		if back := respond(p, 10, 15*time.Second, 17*time.Second, failing(-1, -1))[0]; back < 20 {
			t.Errorf("%s: a recovered target received %d of 2,000 requests", b.Name(), back)
		}
	}
}

// Guards against ejecting a service away: at most half of the targets are ejected, however many refuse. Guards against
// goroutines that take a transition twice, which the count of ejected targets or the chart would show. Run with -race.
func TestAtMostHalfEjected(t *testing.T) {
	p, before := fleet(TwoChoices{}, 10, 1)[0], chart.Refusals()
	for end := time.Second; end <= 20*time.Second; end += time.Second {
		var group sync.WaitGroup
		for worker := range time.Duration(8) {
			group.Go(func() { respond(p, 10, end-time.Second+worker*time.Microsecond, end, failing(0, 9)) })
		}
		group.Wait()
		if ejected := p.(*engine).ejected(); ejected > 5 {
			t.Fatalf("%d of 10 targets are ejected at %v", ejected, end)
		}
	}
	if refused := chart.Refusals() - before; refused != 0 {
		t.Errorf("the chart refused %d events", refused)
	}
}

// Guards against a limit that drifts: targets that left the service while they were ejected, and that the policy of the
// previous snapshot readmits, must not permit further ejections among those that stay.
func TestLimitOfEjectionsDoesNotDrift(t *testing.T) {
	config := Config{Service: "s"}
	for i := range 10 {
		config.Targets = append(config.Targets, Target{Address: string(rune('a' + i)), Slots: 6})
	}
	old := TwoChoices{}.Build(config, nil)
	respond(old, 10, 0, 300*time.Millisecond, failing(0, 4))
	if left := old.(*engine).ejected(); left == 0 {
		t.Fatal("no target is ejected")
	}
	config.Targets = config.Targets[5:]
	next := TwoChoices{}.Build(config, old)
	respond(old, 10, time.Minute, time.Minute+time.Second, failing(-1, -1))
	respond(next, 5, time.Minute, time.Minute+100*time.Millisecond, failing(0, 4))
	if ejected := next.(*engine).ejected(); ejected != 2 {
		t.Errorf("%d of 5 targets are ejected, want 2", ejected)
	}
}

// Guards against a step that the chart lacks and that is taken without a typed error and a count.
func TestRefusedPhaseChange(t *testing.T) {
	c, before := &cell{}, chart.Refusals()
	c.join()
	var refused *chart.TransitionError
	if err := c.fire(eventReadmit); !errors.As(err, &refused) || c.phase.State() != phaseCold || chart.Refusals() != before+1 {
		t.Errorf("got %v in state %d, %d refusals", err, c.phase.State(), chart.Refusals()-before)
	}
}

// Guards against learned state that a new configuration loses or that follows the index instead of the address.
func TestStateFollowsAddress(t *testing.T) {
	a, b, c := Target{Address: "a", Slots: 4}, Target{Address: "b", Slots: 4}, Target{Address: "c", Slots: 4}
	old := TwoChoices{}.Build(Config{Targets: []Target{a, b}}, nil)
	old.Started(1, 0)
	next := TwoChoices{}.Build(Config{Targets: []Target{b, a, c}}, old).(*engine)
	if next.cells[0].own.Load() != 1 || next.cells[1].own.Load() != 0 || next.cells[2].phase.State() != phaseCold {
		t.Errorf("cells after the rebuild: %+v", next.cells)
	}
}

// Guards retries: an excluded target is never chosen, and a choice fails when all are excluded.
func TestExcludedTargetsAreRespected(t *testing.T) {
	for _, b := range Builders() {
		p := fleet(b, 3, 1)[0]
		random := uint64(1)
		for range 500 {
			if target, ok := p.Pick(Request{Random: mix(&random), Excluded: []int{0, 2}}); !ok || target != 1 {
				t.Fatalf("%s: chose %d, %v", b.Name(), target, ok)
			}
		}
		if _, ok := p.Pick(Request{Excluded: []int{0, 1, 2}}); ok {
			t.Errorf("%s: chose an excluded target", b.Name())
		}
	}
}
