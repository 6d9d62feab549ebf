package targetmodel

import (
	"math"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// probeRates returns the numbers of probes per request for which policies are compared.
func probeRates() []float64 { return []float64{0, 0.1, 0.25, 0.5, 1, 2} }

func p99(t *testing.T, s Settings, policy string, rate float64, seeds int) Summary {
	t.Helper()
	s.Builder, s.ProbesPerRequest = findBuilder(t, policy), rate
	return Measure(s, seeds).P99
}

// exceeds reports whether the mean of a is above that of b by more than the combined standard deviation of both.
func exceeds(a, b Summary) bool { return a.Mean > b.Mean+math.Hypot(a.StdDev, b.StdDev) }

// Guards the tail latency objectives of the design: at 75 % utilization with a tenth of the targets slow and at most 0.25
// probes per request, p99 must be at most half of that of round robin and at most 0.75 of that of two choices.
func TestTailLatencyObjectives(t *testing.T) {
	const seeds = 10
	for _, service := range services() {
		s := service.settings
		s.Length = 4 * time.Second
		roundRobin := p99(t, s, balancer.NameRoundRobin, 0, seeds)
		twoChoices := p99(t, s, balancer.NameTwoChoices, 0, seeds)
		for _, rate := range []float64{0, 0.1, 0.25} {
			combined := p99(t, s, balancer.NameCombined, rate, seeds)
			if combined.Mean > 0.5*roundRobin.Mean || combined.Mean > 0.75*twoChoices.Mean {
				t.Errorf("%s at %v probes per request: p99 %.1f ms, round robin %.1f, two choices %.1f",
					service.name, rate, combined.Mean, roundRobin.Mean, twoChoices.Mean)
			}
		}
	}
}

// Guards against a combination of service, utilization and probe rate at which the tail latency of the default policy is
// significantly higher than that of two choices, or than its own at a lower probe rate.
func TestTailNeverWorseThanTwoChoicesOrLowerProbeRate(t *testing.T) {
	const seeds = 6
	for _, service := range services() {
		for _, utilization := range []float64{0.5, 0.75, 0.9} {
			s := service.settings
			s.Length, s.Utilization = 3*time.Second, utilization
			twoChoices := p99(t, s, balancer.NameTwoChoices, 0, seeds)
			smallest := Summary{Mean: math.Inf(1)}
			for _, rate := range probeRates() {
				combined := p99(t, s, balancer.NameCombined, rate, seeds)
				if exceeds(combined, twoChoices) {
					t.Errorf("%s at utilization %v, probe rate %v: p99 %v, two choices %v", service.name, utilization, rate, combined, twoChoices)
				}
				if exceeds(combined, smallest) {
					t.Errorf("%s at utilization %v, probe rate %v: p99 %v, at a lower rate %v", service.name, utilization, rate, combined, smallest)
				}
				if combined.Mean < smallest.Mean {
					smallest = combined
				}
			}
		}
	}
}
