package balancer

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

// simulate sends one request per millisecond through a policy, and each target answers with the given result. It returns
// the number of requests that each target received.
func simulate(p Policy, targets int, from, until time.Duration, result func(target int) ResultKind) []int {
	counts := make([]int, targets)
	random := uint64(from)
	for now := from; now < until; now += time.Millisecond {
		target, ok := p.Pick(Request{Now: now, Random: splitmix64(&random)})
		if !ok {
			continue
		}
		counts[target]++
		p.Started(target, now)
		p.Finished(target, Result{Now: now + time.Millisecond, Elapsed: time.Millisecond, Kind: result(target), Load: NoLoadReport})
	}
	return counts
}

// shedding returns results in which the targets from first to last shed every request and the others answer.
// With -1 for both, every target answers.
func shedding(first, last int) func(int) ResultKind {
	return func(target int) ResultKind {
		if target >= first && target <= last {
			return Shed
		}
		return Answered
	}
}

// Guards against requests lost to a target that sheds everything (F3 in docs/guarantees.md): every policy ejects it, and
// readmits it with a growing share of requests when it has recovered.
func TestEjectionAndReadmission(t *testing.T) {
	for _, b := range Builders() {
		p := buildPolicies(b, 10, 1)[0]
		simulate(p, 10, 0, time.Second, shedding(0, 0))
		if shed := simulate(p, 10, time.Second, 3*time.Second, shedding(0, 0))[0]; shed > 20 {
			t.Errorf("%s: a target that sheds everything received %d of 2,000 requests, want at most 20", b.Name(), shed)
		}
		simulate(p, 10, 3*time.Second, 15*time.Second, shedding(-1, -1))
		if received := simulate(p, 10, 15*time.Second, 17*time.Second, shedding(-1, -1))[0]; received < 20 {
			t.Errorf("%s: a recovered target received %d of 2,000 requests, want at least 20", b.Name(), received)
		}
	}
}

// Guards against ejecting too many targets: at most half of them may be ejected, however many shed requests. Also guards
// against goroutines that fire the same transition twice, which shows in the number of ejected targets or in the events
// that the chart refuses. Run with -race.
func TestAtMostHalfEjected(t *testing.T) {
	p, before := buildPolicies(TwoChoices{}, 10, 1)[0], chart.RefusedTransitions()
	for end := time.Second; end <= 20*time.Second; end += time.Second {
		var group sync.WaitGroup
		for worker := range time.Duration(8) {
			group.Go(func() { simulate(p, 10, end-time.Second+worker*time.Microsecond, end, shedding(0, 9)) })
		}
		group.Wait()
		if ejected := p.(*samplingPolicy).ejectedCount(); ejected > 5 {
			t.Fatalf("%d of 10 targets are ejected at %v", ejected, end)
		}
	}
	if refused := chart.RefusedTransitions() - before; refused != 0 {
		t.Errorf("the chart refused %d events, want 0", refused)
	}
}

// Guards against an ejection limit that is too high after targets left the service while they were ejected: when the
// policy of the previous snapshot readmits them, that must not permit more ejections among the remaining targets.
func TestEjectionLimitAfterEjectedTargetsLeave(t *testing.T) {
	config := Config{Service: "s"}
	for i := range 10 {
		config.Targets = append(config.Targets, Target{Address: string(rune('a' + i)), Slots: 6})
	}
	old := TwoChoices{}.Build(config, nil)
	simulate(old, 10, 0, 300*time.Millisecond, shedding(0, 4))
	if ejected := old.(*samplingPolicy).ejectedCount(); ejected == 0 {
		t.Fatal("no target is ejected")
	}
	config.Targets = config.Targets[5:]
	next := TwoChoices{}.Build(config, old)
	simulate(old, 10, time.Minute, time.Minute+time.Second, shedding(-1, -1))
	simulate(next, 5, time.Minute, time.Minute+100*time.Millisecond, shedding(0, 4))
	if ejected := next.(*samplingPolicy).ejectedCount(); ejected != 2 {
		t.Errorf("%d of 5 targets are ejected, want 2", ejected)
	}
}

// Guards against a transition that is not in the chart: it must leave the phase unchanged, return a TransitionError and be
// counted.
func TestInvalidPhaseTransition(t *testing.T) {
	s, before := &targetState{}, chart.RefusedTransitions()
	s.startCold()
	var refused *chart.TransitionError
	if err := s.fire(eventReadmit); !errors.As(err, &refused) || s.phase.State() != phaseCold || chart.RefusedTransitions() != before+1 {
		t.Errorf("got error %v, state %d and %d refusals, want a TransitionError, state cold and 1 refusal", err, s.phase.State(), chart.RefusedTransitions()-before)
	}
}

// Guards against target state that is lost with a new configuration, or assigned by index instead of by address.
func TestStateFollowsAddress(t *testing.T) {
	a, b, c := Target{Address: "a", Slots: 4}, Target{Address: "b", Slots: 4}, Target{Address: "c", Slots: 4}
	old := TwoChoices{}.Build(Config{Targets: []Target{a, b}}, nil)
	old.Started(1, 0)
	next := TwoChoices{}.Build(Config{Targets: []Target{b, a, c}}, old).(*samplingPolicy)
	if next.targets[0].inFlight.Load() != 1 || next.targets[1].inFlight.Load() != 0 || next.targets[2].phase.State() != phaseCold {
		t.Errorf("target states after the rebuild: %+v", next.targets)
	}
}

// Guards against retries on the same target: Pick must never return an excluded target, and fails if all are excluded.
func TestPickSkipsExcludedTargets(t *testing.T) {
	for _, b := range Builders() {
		p := buildPolicies(b, 3, 1)[0]
		random := uint64(1)
		for range 500 {
			if target, ok := p.Pick(Request{Random: splitmix64(&random), Excluded: []int{0, 2}}); !ok || target != 1 {
				t.Fatalf("%s: picked target %d, ok %v; want target 1", b.Name(), target, ok)
			}
		}
		if _, ok := p.Pick(Request{Excluded: []int{0, 1, 2}}); ok {
			t.Errorf("%s: picked an excluded target", b.Name())
		}
	}
}
