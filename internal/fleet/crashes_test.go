package fleet

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	crashSchedules = flag.Int("fleet.crashes", 24, "number of random schedules of a request that crashes targets")
	crashPerZone   = flag.Int("fleet.crashzone", 0, "number of instances a zone in the schedules of crashes, 0 for a drawn one")
	crashSeed      = flag.Uint64("fleet.crashseed", 1, "seed of the first schedule of a request that crashes targets")
)

// drawCrashes draws a schedule of troubles and the kinds of ends.
func drawCrashes(r *rand.Rand) (schedule, []crashKind) {
	s := drawSchedule(r)
	s.departures = nil
	if *crashPerZone > 0 {
		s.perZone = *crashPerZone
	}
	for i := range s.outages {
		s.outages[i].lapse = false
	}
	kinds := []crashKind{crashKind(r.IntN(int(crashKinds - 2)))}
	for range r.IntN(3) {
		kinds = append(kinds, crashKind(r.IntN(int(crashKinds))))
	}
	return s, kinds
}

// Guards against a request that goes on ending targets, and against innocent ones that are held for long, whatever combination of
// restarts, cuts, outages of the store and kinds of ends comes at the moment. Seed 133 had a target that started again at once, whose
// next process passed for the one that ended.
func TestCrashesEndUnderRandomTroubles(t *testing.T) {
	failed := 0
	seeds := []uint64{133}
	for i := range *crashSchedules / scheduleShare {
		seeds = append(seeds, *crashSeed+uint64(i))
	}
	for _, seed := range seeds {
		s, kinds := drawCrashes(rand.New(rand.NewPCG(seed, 30)))
		c, broken := playCrashes(t, s, kinds, 700*time.Millisecond, seed)
		if len(broken) > 0 {
			failed++
			t.Logf("seed %d: kinds %v, %d crashes, %d sends: %s\n\t%v", seed, kinds, len(c.crashes), len(c.sends), s, broken)
		}
	}
	if failed > 0 {
		t.Errorf("%d schedules failed", failed)
	}
}

// playRestarts plays schedules of one pattern of restarts with a request that ends each target at once.
func playRestarts(t *testing.T, plays int, draw func(r *rand.Rand) schedule) {
	t.Helper()
	failed := 0
	for seed := range uint64(plays / scheduleShare) {
		s := draw(rand.New(rand.NewPCG(seed, 33)))
		c, broken := playCrashes(t, s, []crashKind{endsAtOnce}, 250*time.Millisecond, seed)
		// The rule excuses instances that have just started. What the fleet knows they can know from their start.
		if len(broken) > 0 || len(c.crashes) > crashesOfRule {
			failed++
			t.Logf("seed %d: %d crashes, %d sends: %s\n\t%v", seed, len(c.crashes), len(c.sends), s, broken)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d schedules failed", failed, plays/scheduleShare)
	}
}

// Guards against a request that each instance tries anew after its restart, because the crashes were told before it started.
func TestCrashesEndWhileInstancesRestartInTurn(t *testing.T) {
	playRestarts(t, 8, func(r *rand.Rand) schedule {
		s := schedule{perZone: 3}
		at := settling + 3*time.Second
		for _, i := range r.Perm(3 * zonesOfSchedule) {
			s.restarts = append(s.restarts, restart{span: span{at, at + time.Second}, instances: []int{i}})
			at += 1200 * time.Millisecond
		}
		return s
	})
}

// Guards against a request that is tried anew after a restart of all instances at once, when nobody in the fleet knows its crashes, also
// twice and while the store is slow or away at first.
func TestCrashesEndAfterRestartsOfAll(t *testing.T) {
	playRestarts(t, 8, func(r *rand.Rand) schedule {
		s := schedule{perZone: 3}
		all := make([]int, 3*zonesOfSchedule)
		for i := range all {
			all[i] = i
		}
		at := settling + 3*time.Second
		for range 2 {
			s.restarts = append(s.restarts, restart{span: span{at, at + 500*time.Millisecond}, instances: all})
			if r.IntN(2) == 0 {
				s.outages = append(s.outages, outage{span: span{at, at + 2*time.Second}, how: refuses, share: 1})
			}
			at += 9 * time.Second
		}
		return s
	})
}
