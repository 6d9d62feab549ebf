package dispatch

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/registry"
)

// Guards against exceeding the retry budget of the fleet, of which each instance knows only its own part, and against many
// instances that spend their saved retries at once when all targets of a service suddenly begin to shed requests.
func TestFleetRetryBudget(t *testing.T) {
	cases := []struct {
		name       string
		instances  int
		perSecond  int
		extra      float64
		shedsAfter int
	}{
		{"small fleet, sheds all the time", 20, 10, 64, 0},
		{"small fleet, begins to shed", 20, 10, 64, 30},
		{"large fleet, few requests each, begins to shed", 472, 2, 630, 30},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const seconds, ratio = 60, 0.2
			policy := DefaultPolicy()
			policy.RetryRatio, policy.RetryExtra = ratio*0.9, c.extra*0.9
			retries := make([]int, seconds)
			for range c.instances {
				p := newTestPool(policy, target("t", "a"))
				p.SetTargets([]registry.Target{target("t", "a")}, c.instances, wallTime)
				for second := range seconds {
					for range c.perSecond {
						p.clock += time.Second / time.Duration(c.perSecond)
						p.RecordRequest()
						for second >= c.shedsAfter && p.MayRetry() {
							retries[second]++
						}
					}
				}
			}
			requests := float64(c.instances * c.perSecond * 10)
			maxInWindow := 0
			for first := 0; first+10 <= seconds; first++ {
				sum := 0
				for _, n := range retries[first : first+10] {
					sum += n
				}
				maxInWindow = max(maxInWindow, sum)
			}
			if maxRetries := ratio*requests + c.extra; float64(maxInWindow) > maxRetries {
				t.Errorf("%d retries in 10 s, want at most %v", maxInWindow, maxRetries)
			}
			if minRetries := 0.8 * ratio * requests; float64(maxInWindow) < minRetries {
				t.Errorf("%d retries in 10 s, want at least %v", maxInWindow, minRetries)
			}
		})
	}
}

// Guards against a fleet that exceeds its retry budget many times over after a restart of all instances, because each of
// them knows no other instance yet and takes the whole budget for its own.
func TestNoExtraRetriesWhileFleetSizeIsUnknown(t *testing.T) {
	const instances = 400
	policy := DefaultPolicy()
	policy.RetryRatio, policy.RetryExtra = 0.12, 378
	retries := 0
	for range instances {
		p := newTestPool(policy, target("t", "a"))
		p.SetInstances(1, false)
		for range 2 {
			p.RecordRequest()
			for p.MayRetry() {
				retries++
			}
		}
		p.clock += time.Second
		p.SetTargets([]registry.Target{target("t", "a")}, instances, wallTime)
		p.SetInstances(instances, true)
		p.RecordRequest()
		for p.MayRetry() {
			retries++
		}
	}
	if retries > int(policy.RetryExtra) {
		t.Errorf("%d retries, want at most %v", retries, policy.RetryExtra)
	}
}
