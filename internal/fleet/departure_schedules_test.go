package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	scheduleCount = flag.Int("fleet.schedules", 30, "number of random departure schedules")
	scheduleSeed  = flag.Uint64("fleet.seed", 1, "seed of the first departure schedule")
	scheduleTrace = flag.Bool("fleet.trace", false, "write the logs of the simulated instances to standard output")
)

// The bounds of the platform's specification: how long after its acknowledgement a departure must be applied, how long
// the instance and the store must have been undisturbed for that, and how soon after an outage the entries of running
// targets are back.
const (
	departureBound      = 2 * time.Second
	stabilityWindow     = 3 * time.Second
	entriesReturnWithin = 2 * time.Second
)

const (
	// settlingTime is the time for which a fleet runs before faults begin.
	settlingTime = 5 * time.Second
	// scheduleSpan is the period after settlingTime in which random outages begin.
	scheduleSpan  = 12 * time.Second
	checkInterval = 20 * time.Millisecond
	// drainTime is how much longer than departureBound the entry of a draining target stays in the store.
	drainTime = 15 * time.Second
)

// span is a period, relative to the start of a schedule.
type span struct{ from, to time.Duration }

// disturbs reports whether a time is within the disruption or less than the stability window after it.
func (s span) disturbs(at time.Duration) bool { return at >= s.from && at < s.to+stabilityWindow }

// outage is a disruption of the store.
type outage struct {
	span
	behavior storeBehavior
	// share is the share of the instances that are affected; 1 is an outage of the whole store.
	share float64
	slow  bool
	// expireEntries removes the entries of all targets during the outage.
	expireEntries bool
	// missHeartbeats removes the entries of targets as the store does: missedHeartbeats intervals after their latest
	// heartbeat before the outage, unless they are back by then.
	missHeartbeats bool
	// trimHistory drops the history of the topic.
	trimHistory bool
}

// departure is a target that deregisters. An abrupt one does not announce that it drains.
type departure struct {
	target int
	at     time.Duration
	abrupt bool
}

// restart stops instances at the beginning of a span and starts them again at its end. Partitioned instances keep
// running without a network instead.
type restart struct {
	span
	instances   []int
	partitioned bool
}

type schedule struct {
	instancesPerZone int
	outages          []outage
	departures       []departure
	restarts         []restart
	pauses           []pause
}

const (
	scheduleZones   = 3
	scheduleTargets = 8
)

func randomSchedule(r *rand.Rand) schedule {
	s := schedule{instancesPerZone: 2 + r.IntN(3)}
	within := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	moments := []time.Duration{settlingTime + within(scheduleSpan)}
	for range r.IntN(3) {
		from := settlingTime + within(scheduleSpan)
		o := outage{span: span{from, from + 500*time.Millisecond + within(6*time.Second)}, share: 1, behavior: storeServes}
		switch r.IntN(6) {
		case 0, 1:
			o.behavior, o.expireEntries = storeRefuses+storeBehavior(r.IntN(2)), r.IntN(2) == 0
		case 2, 3:
			o.behavior, o.share = storeRefuses+storeBehavior(r.IntN(2)), 0.3+0.65*r.Float64()
		case 4:
			o.slow = true
		case 5:
			o.trimHistory, o.to = true, o.from+1260*time.Millisecond
		}
		s.outages = append(s.outages, o)
		moments = append(moments, o.from, o.to)
	}
	for range r.IntN(3) {
		from := settlingTime + within(scheduleSpan)
		if r.IntN(2) == 0 {
			from = max(settlingTime, moments[r.IntN(len(moments))]-time.Second+within(3*time.Second))
		}
		c := restart{span: span{from, from + 100*time.Millisecond + within(4*time.Second)}, partitioned: r.IntN(2) == 0}
		count := s.instancesPerZone * scheduleZones
		for i := range count {
			if r.Float64() < []float64{0.15, 0.4, 1}[r.IntN(3)] {
				c.instances = append(c.instances, i)
			}
		}
		s.restarts = append(s.restarts, c)
		moments = append(moments, c.from, c.to)
	}
	order := r.Perm(scheduleTargets)
	for i := range 1 + r.IntN(4) {
		at := moments[r.IntN(len(moments))] - 1500*time.Millisecond + within(3*time.Second)
		s.departures = append(s.departures, departure{order[i], max(at, settlingTime), r.IntN(2) == 0})
	}
	return s
}

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d instances per zone", s.instancesPerZone)
	for _, o := range s.outages {
		fmt.Fprintf(&b, "; store %v to %v: behavior %d share %.2f slow %v expire %v trim %v", o.from, o.to, o.behavior, o.share, o.slow, o.expireEntries, o.trimHistory)
	}
	for _, c := range s.restarts {
		fmt.Fprintf(&b, "; instances %v %v to %v partitioned %v", c.instances, c.from, c.to, c.partitioned)
	}
	for _, p := range s.pauses {
		fmt.Fprintf(&b, "; instance %d paused %v to %v", p.instance, p.from, p.to)
	}
	for _, d := range s.departures {
		fmt.Fprintf(&b, "; t%d departs %v abrupt %v", d.target, d.at, d.abrupt)
	}
	return b.String()
}

// storeStable reports whether the whole store has been undisturbed for the stability window at a time.
func (s schedule) storeStable(at time.Duration) bool {
	return !slices.ContainsFunc(s.outages, func(o outage) bool { return o.share == 1 && o.disturbs(at) })
}

// undisturbed reports whether the bounds apply to an instance at a time.
func (s schedule) undisturbed(instance int, at time.Duration) bool {
	return s.storeStable(at) && !slices.ContainsFunc(s.restarts, func(c restart) bool {
		return slices.Contains(c.instances, instance) && c.disturbs(at)
	}) && !slices.ContainsFunc(s.pauses, func(p pause) bool { return p.instance == instance && p.disturbs(at) })
}

// simulate runs a schedule and returns it with the failures.
func simulate(t *testing.T, s schedule, seed uint64, random *rand.Rand) (schedule, []failure) {
	sim := newSimulation(s, seed)
	synctest.Test(t, func(*testing.T) { sim.run(random) })
	return sim.schedule, sim.failures
}

// Guards against departed targets that stay in use, and against running ones that are dropped, under random
// combinations of outages, refused instances, restarts, partitions and expired entries.
func TestDeparturesBindUnderRandomTroubles(t *testing.T) {
	for i := range *scheduleCount / scheduleDivisor {
		seed := *scheduleSeed + uint64(i)
		random := rand.New(rand.NewPCG(seed, 22))
		s, failures := simulate(t, randomSchedule(random), seed, random)
		if len(failures) > 0 {
			t.Errorf("seed %d: %s\n\t%d failures: %v", seed, s, len(failures), failures[:min(len(failures), 4)])
		}
	}
}

// Guards against a target that departed just before an outage of the store and stays in use when the instances are
// undisturbed again: if none of them reads until long after the store returned, they take the removal for an expired
// entry and keep the target for OutageGracePeriod.
func TestDepartureJustBeforeOutage(t *testing.T) {
	simulatePattern(t, 16, func(r *rand.Rand) schedule { return departureBeforeOutage(r, storeRefuses) })
}

// Guards against the same failure in an outage in which calls get no answer: instances whose calls are waiting when the
// store returns retry late.
func TestDepartureJustBeforeSilentOutage(t *testing.T) {
	simulatePattern(t, 40, func(r *rand.Rand) schedule { return departureBeforeOutage(r, storeSilent) })
}

func departureBeforeOutage(r *rand.Rand, how storeBehavior) schedule {
	from := settlingTime + time.Duration(r.Int64N(int64(time.Second)))
	length := 3*time.Second + time.Duration(r.Int64N(int64(5*time.Second)))
	departsAt := from - time.Duration(r.Int64N(int64(400*time.Millisecond)))
	return schedule{
		instancesPerZone: 2 + r.IntN(3),
		outages:          []outage{{span: span{from, from + length}, behavior: how, share: 1}},
		departures:       []departure{{target: r.IntN(scheduleTargets), at: departsAt, abrupt: true}},
	}
}

// Guards against departures that an instance does not learn of, or takes for expired entries, while the store refuses
// it and all instances that the store serves are down or partitioned.
func TestDepartureBindsWhereNoServedInstanceIsReached(t *testing.T) {
	for _, seed := range []uint64{304, 1043, 1489} {
		random := rand.New(rand.NewPCG(seed, 22))
		s, failures := simulate(t, randomSchedule(random), seed, random)
		if len(failures) > 0 {
			t.Errorf("seed %d: %s\n\t%v", seed, s, failures)
		}
	}
}

// Guards against departures that are read late while the store refuses most instances, including the first ranks: the
// next rank waited 300 ms for each failing instance, so that the data grew older than the bound.
func TestDepartureWhileStoreRefusesMostInstances(t *testing.T) {
	simulatePattern(t, 32, func(r *rand.Rand) schedule {
		from := settlingTime + time.Duration(r.Int64N(int64(time.Second)))
		return schedule{
			instancesPerZone: 4,
			outages:          []outage{{span: span{from, from + 6*time.Second}, behavior: storeRefuses + storeBehavior(r.IntN(2)), share: 0.8}},
			departures: []departure{{
				target: r.IntN(scheduleTargets), at: from + time.Duration(r.Int64N(int64(4*time.Second))), abrupt: r.IntN(2) == 0,
			}},
		}
	})
}

// simulatePattern simulates random schedules of one pattern.
func simulatePattern(t *testing.T, count int, draw func(r *rand.Rand) schedule) {
	t.Helper()
	simulatePatternWith(t, count, draw, func(*simulation) {})
}

// simulatePatternWith simulates random schedules of one pattern, in simulations that configure has changed.
func simulatePatternWith(t *testing.T, count int, draw func(r *rand.Rand) schedule, configure func(*simulation)) {
	t.Helper()
	failed := 0
	for seed := range uint64(count / scheduleDivisor) {
		random := rand.New(rand.NewPCG(seed, 24))
		sim := newSimulation(draw(random), seed)
		configure(sim)
		synctest.Test(t, func(*testing.T) { sim.run(random) })
		if len(sim.failures) > 0 {
			failed++
			t.Logf("seed %d: %s\n\t%v", seed, sim.schedule, sim.failures[:min(len(sim.failures), 2)])
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d schedules failed", failed, count/scheduleDivisor)
	}
}
