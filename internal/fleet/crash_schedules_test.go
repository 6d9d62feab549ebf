package fleet

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	crashSchedules        = flag.Int("fleet.crashes", 24, "number of random schedules with a request that crashes targets")
	crashInstancesPerZone = flag.Int("fleet.crashzone", 0, "number of instances per zone in the crash schedules, 0 for a random one")
	crashSeed             = flag.Uint64("fleet.crashseed", 1, "seed of the first crash schedule")
)

// randomCrashSchedule returns a random schedule of faults and the behaviors of the targets under the crashing request.
// The first behavior always terminates the target.
func randomCrashSchedule(r *rand.Rand) (schedule, []crashBehavior) {
	s := randomSchedule(r)
	s.departures = nil
	if *crashInstancesPerZone > 0 {
		s.instancesPerZone = *crashInstancesPerZone
	}
	for i := range s.outages {
		s.outages[i].expireEntries = false
	}
	behaviors := []crashBehavior{crashBehavior(r.IntN(int(numCrashBehaviors - 2)))}
	for range r.IntN(3) {
		behaviors = append(behaviors, crashBehavior(r.IntN(int(numCrashBehaviors))))
	}
	return s, behaviors
}

// Guards against a request that keeps crashing targets, and against innocent requests that are held back for long,
// under random combinations of restarts, partitions, outages of the store and crash behaviors. Seed 133 had a target
// that restarted at once and whose new process was taken for the crashed one.
func TestCrashLimitUnderRandomFaults(t *testing.T) {
	failed := 0
	seeds := []uint64{133}
	for i := range *crashSchedules / scheduleDivisor {
		seeds = append(seeds, *crashSeed+uint64(i))
	}
	for _, seed := range seeds {
		s, behaviors := randomCrashSchedule(rand.New(rand.NewPCG(seed, 30)))
		c, violations := simulateCrashes(t, s, behaviors, 700*time.Millisecond, seed)
		if len(violations) > 0 {
			failed++
			t.Logf("seed %d: behaviors %v, %d crashes, %d sends: %s\n\t%v", seed, behaviors, len(c.crashes), len(c.sends), s, violations)
		}
	}
	if failed > 0 {
		t.Errorf("%d schedules failed", failed)
	}
}

// simulateRestarts simulates schedules of one pattern of restarts with a request that terminates each target at once.
func simulateRestarts(t *testing.T, count int, draw func(r *rand.Rand) schedule) {
	t.Helper()
	failed := 0
	for seed := range uint64(count / scheduleDivisor) {
		s := draw(rand.New(rand.NewPCG(seed, 33)))
		c, violations := simulateCrashes(t, s, []crashBehavior{exits}, 250*time.Millisecond, seed)
		// maxLateSends does not apply to instances that have just started. But they can know from their start what the
		// fleet knows, so the number of crashes is limited to maxCrashes for them as well.
		if len(violations) > 0 || len(c.crashes) > maxCrashes {
			failed++
			t.Logf("seed %d: %d crashes, %d sends: %s\n\t%v", seed, len(c.crashes), len(c.sends), s, violations)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d schedules failed", failed, count/scheduleDivisor)
	}
}

// Guards against a request that each instance tries again after its restart, because the crashes were broadcast before
// the instance started.
func TestCrashLimitDuringRollingRestart(t *testing.T) {
	simulateRestarts(t, 8, func(r *rand.Rand) schedule {
		s := schedule{instancesPerZone: 3}
		at := settlingTime + 3*time.Second
		for _, i := range r.Perm(3 * scheduleZones) {
			s.restarts = append(s.restarts, restart{span: span{at, at + time.Second}, instances: []int{i}})
			at += 1200 * time.Millisecond
		}
		return s
	})
}

// Guards against a request that is tried again after a restart of all instances at once, when no instance knows its
// crashes any more. This includes two such restarts in a row and a store that refuses all calls at first.
func TestCrashLimitAfterFullRestarts(t *testing.T) {
	simulateRestarts(t, 8, func(r *rand.Rand) schedule {
		s := schedule{instancesPerZone: 3}
		all := make([]int, 3*scheduleZones)
		for i := range all {
			all[i] = i
		}
		at := settlingTime + 3*time.Second
		for range 2 {
			s.restarts = append(s.restarts, restart{span: span{at, at + 500*time.Millisecond}, instances: all})
			if r.IntN(2) == 0 {
				s.outages = append(s.outages, outage{span: span{at, at + 2*time.Second}, behavior: storeRefuses, share: 1})
			}
			at += 9 * time.Second
		}
		return s
	})
}
