package targetmodel

import (
	"math"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// rates are the probe rates per request of the budget curve.
func rates() []float64 { return []float64{0, 0.1, 0.25, 0.5, 1, 2} }

func p99(t *testing.T, s Settings, policy string, rate float64, seeds int) Summary {
	t.Helper()
	s.Builder, s.ProbesPerRequest = builder(t, policy), rate
	return Measure(s, seeds).P99
}

// beyond reports whether a is higher than b by more than the spread of both.
func beyond(a, b Summary) bool { return a.Mean > b.Mean+math.Hypot(a.StdDev, b.StdDev) }

// Guards the stated targets of the design page: at 75 % utilisation with a tenth of the targets slow, p99 is at most
// half of round robin's and at most 0.75 of two choices', for at most 0.25 probes a request.
func TestStatedTailTargets(t *testing.T) {
	const seeds = 10
	for _, service := range services() {
		s := service.settings
		s.Length = 4 * time.Second
		roundRobin := p99(t, s, balancer.NameRoundRobin, 0, seeds)
		twoChoices := p99(t, s, balancer.NameTwoChoices, 0, seeds)
		for _, rate := range []float64{0, 0.1, 0.25} {
			combined := p99(t, s, balancer.NameCombined, rate, seeds)
			if combined.Mean > 0.5*roundRobin.Mean || combined.Mean > 0.75*twoChoices.Mean {
				t.Errorf("%s at %v probes a request: p99 %.1f ms, round robin %.1f, two choices %.1f",
					service.name, rate, combined.Mean, roundRobin.Mean, twoChoices.Mean)
			}
		}
	}
}

// Guards against a combination of utilisation, service and budget at which the default policy is worse than two
// choices beyond the spread, and against a budget that makes the tail worse than a smaller one does.
func TestTailNeverWorseThanTwoChoicesOrSmallerBudget(t *testing.T) {
	const seeds = 6
	for _, service := range services() {
		for _, utilisation := range []float64{0.5, 0.75, 0.9} {
			s := service.settings
			s.Length, s.Utilization = 3*time.Second, utilisation
			twoChoices := p99(t, s, balancer.NameTwoChoices, 0, seeds)
			smallest := Summary{Mean: math.Inf(1)}
			for _, rate := range rates() {
				combined := p99(t, s, balancer.NameCombined, rate, seeds)
				if beyond(combined, twoChoices) {
					t.Errorf("%s at %v, rate %v: p99 %v, two choices %v", service.name, utilisation, rate, combined, twoChoices)
				}
				if beyond(combined, smallest) {
					t.Errorf("%s at %v, rate %v: p99 %v, with a smaller budget %v", service.name, utilisation, rate, combined, smallest)
				}
				if combined.Mean < smallest.Mean {
					smallest = combined
				}
			}
		}
	}
}
