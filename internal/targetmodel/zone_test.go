package targetmodel

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

// zoned returns a service in four availability zones 0.5 ms apart.
func zoned() Settings {
	s := Flightdesk()
	s.Zones, s.ZoneDelay, s.Length = 4, 500*time.Microsecond, 4*time.Second
	s.ProbesPerRequest = 0.25
	return s
}

// localShares returns the share of choices in the instance's own zone for each bucket of 100 ms.
func localShares(t *testing.T, s Settings, zone int) []float64 {
	t.Helper()
	buckets := int(s.Length/(100*time.Millisecond)) + 1
	local, all := make([]int, buckets), make([]int, buckets)
	s.Builder = builder(t, balancer.NameCombined)
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

// Guards the zone preference: most requests stay in the zone at low load, and staying there costs no tail latency
// against two choices.
func TestZonePreference(t *testing.T) {
	s := zoned()
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
	for _, utilisation := range []float64{0.5, 0.75} {
		s.Utilization = utilisation
		combined, twoChoices := p99(t, s, balancer.NameCombined, 0.25, 4), p99(t, s, balancer.NameTwoChoices, 0, 4)
		if beyond(combined, twoChoices) {
			t.Errorf("at %v: p99 %v, two choices %v", utilisation, combined, twoChoices)
		}
	}
}

// Guards against oscillation between zones: while the targets of one zone are slow, its instances send elsewhere in
// each 100 ms, and they come back afterwards.
func TestSpillOverDoesNotOscillate(t *testing.T) {
	s := zoned()
	s.Seed, s.SlowShare, s.SlowFactor, s.Utilization = 5, 0, 3, 0.5
	for target := 0; target < 20; target += 4 {
		s.Faults = append(s.Faults, during(FaultSlow, target, target))
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

// Guards against instances of one zone that all choose the same target: in no 20 ms does a target of the zone receive
// more than twice its even share.
func TestInstancesOfAZoneSpread(t *testing.T) {
	const bucket = 20 * time.Millisecond
	s := zoned()
	s.Seed, s.SlowShare, s.Builder = 9, 0, builder(t, balancer.NameCombined)
	counts := map[[2]int]int{}
	s.Observe = func(at time.Duration, instance, target int) {
		if instance%s.Zones == 0 && at > time.Second {
			counts[[2]int{int(at / bucket), target}]++
		}
	}
	Run(s)
	even := s.rate() / float64(s.Zones) * bucket.Seconds() / float64(s.Targets/s.Zones)
	for key, n := range counts {
		if float64(n) > 2*even {
			t.Errorf("target %d received %d requests of its zone in bucket %d, even share %.0f", key[1], n, key[0], even)
		}
	}
}
