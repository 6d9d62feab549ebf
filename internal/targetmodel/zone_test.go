package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// zonedSettings returns the settings for a service in four availability zones, 0.5 ms apart.
func zonedSettings() Settings {
	s := Flightdesk()
	s.Zones, s.ZoneDelay, s.Length = 4, 500*time.Microsecond, 4*time.Second
	s.ProbesPerRequest = 0.25
	return s
}

// localShares returns, for each 100 ms, the fraction of the attempts of the instances of a zone that stay in that zone.
func localShares(t *testing.T, s Settings, zone int) []float64 {
	t.Helper()
	buckets := int(s.Length/(100*time.Millisecond)) + 1
	local, all := make([]int, buckets), make([]int, buckets)
	s.Builder = findBuilder(t, balancer.NameCombined)
	s.Observe = func(at time.Duration, instance, target int) {
		if instance%s.Zones != zone {
			return
		}
		bucket := min(buckets-1, int(at/(100*time.Millisecond)))
		all[bucket]++
		if target%s.Zones == zone {
			local[bucket]++
		}
	}
	Run(s)
	shares := make([]float64, buckets)
	for i := range shares {
		shares[i] = share(local[i], all[i])
	}
	return shares
}

// Guards against a zone preference that has no effect at low load, or that keeps requests in the zone at the cost of a
// higher tail latency than that of two choices.
func TestZonePreference(t *testing.T) {
	s := zonedSettings()
	s.Seed, s.Utilization = 3, 0.5
	shares := localShares(t, s, 0)
	sum := 0.0
	for _, value := range shares[10:40] {
		sum += value / 30
	}
	t.Logf("local share %.2f", sum)
	if sum < 0.5 {
		t.Errorf("%.0f %% of requests stay in the zone", 100*sum)
	}
	for _, utilization := range []float64{0.5, 0.75} {
		s.Utilization = utilization
		combined, twoChoices := p99(t, s, balancer.NameCombined, 0.25, 4), p99(t, s, balancer.NameTwoChoices, 0, 4)
		if exceeds(combined, twoChoices) {
			t.Errorf("at utilization %v: p99 %v, two choices %v", utilization, combined, twoChoices)
		}
	}
}

// Guards against oscillation between zones: while the targets of a zone are slow, its instances must send a steady part of
// their requests to other zones in every 100 ms, and return to their own zone afterwards.
func TestSpillOverDoesNotOscillate(t *testing.T) {
	s := zonedSettings()
	s.Seed, s.SlowShare, s.SlowFactor, s.Utilization = 5, 0, 3, 0.5
	for target := 0; target < 20; target += 4 {
		s.Faults = append(s.Faults, midRunFault(FaultSlow, target, target))
	}
	shares := localShares(t, s, 0)
	lowest, highest := 1.0, 0.0
	for _, value := range shares[18:29] {
		lowest, highest = min(lowest, value), max(highest, value)
	}
	t.Logf("local share %.2f before, %.2f to %.2f during, %.2f after", shares[12], lowest, highest, shares[35])
	if highest-lowest > 0.2 || highest >= shares[12] || shares[35] < 0.8*shares[12] {
		t.Errorf("local share %.2f before, %.2f to %.2f during, %.2f after", shares[12], lowest, highest, shares[35])
	}
}

// Guards against instances of one zone that all choose the same target: in any 20 ms, no target may receive more than
// twice its even share of the requests of the zone.
func TestInstancesOfOneZoneSpreadLoad(t *testing.T) {
	const bucket = 20 * time.Millisecond
	s := zonedSettings()
	s.Seed, s.SlowShare, s.Builder = 9, 0, findBuilder(t, balancer.NameCombined)
	counts := map[[2]int]int{}
	s.Observe = func(at time.Duration, instance, target int) {
		if instance%s.Zones == 0 && at > time.Second {
			counts[[2]int{int(at / bucket), target}]++
		}
	}
	Run(s)
	even := s.arrivalRate() / float64(s.Zones) * bucket.Seconds() / float64(s.Targets/s.Zones)
	for key, n := range counts {
		if float64(n) > 2*even {
			t.Errorf("target %d received %d requests of its zone in bucket %d, even share %.0f", key[1], n, key[0], even)
		}
	}
}
