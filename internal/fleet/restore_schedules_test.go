package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	restoreSchedules = flag.Int("fleet.restores", 100, "number of random schedules in which the store is restored from an older copy")
	restoreSeed      = flag.Uint64("fleet.restoreseed", 1, "seed of the first schedule with restores")
	restoreHidesEra  = flag.Bool("fleet.hideera", false, "let the store tell no era in schedules with restores, to see what the era is needed for")
)

// storeRestore replaces the store by a copy of some time before, after it was away.
type storeRestore struct {
	// awayFrom is when the store goes away. It is back at backAt with its content of an age before awayFrom.
	awayFrom, backAt time.Duration
	age              time.Duration
}

// restoreSchedule is a schedule with restores. Targets arrive, depart and start again in the time that the store loses, and the
// operator writes configurations in it.
type restoreSchedule struct {
	lateSchedule
	restores []storeRestore
	// arrivals are the times at which targets start for the first time, by target.
	arrivals map[int]time.Duration
	// configs are the times at which the operator writes the configurations from version 2 on.
	configs []time.Duration
}

func (s restoreSchedule) String() string {
	// The cuts are the periods in which the store is away.
	s.cuts = nil
	return fmt.Sprintf("%s; restores %v; arrivals %v; configurations %v", s.lateSchedule, s.restores, s.arrivals, s.configs)
}

const (
	// readWithin is how long before a restore a departure must have been recorded for an instance to have read it.
	readWithin = time.Second
	// configWrittenWithin is how long after a restore the operator has written the newest configuration again.
	configWrittenWithin = time.Second
	// configBound is how long after it was written a configuration has to be in force.
	configBound = 2 * time.Second
	// maxRestoreAge is the largest age of a copy in the schedules.
	maxRestoreAge = 12 * time.Second
	// noticedWithin is how long after a restore the instances have to know of the departures that they know again: as after an
	// outage.
	noticedWithin = stabilityWindow
)

func randomRestoreSchedule(r *rand.Rand) restoreSchedule {
	within := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	s := restoreSchedule{lateSchedule: lateSchedule{schedule: schedule{instancesPerZone: 1 + r.IntN(4)}}, arrivals: map[int]time.Duration{}}
	awayFrom := settlingTime + 3*time.Second + within(6*time.Second)
	for range 1 + r.IntN(2) {
		restore := storeRestore{awayFrom: awayFrom, backAt: awayFrom + within(2500*time.Millisecond), age: 500*time.Millisecond + within(maxRestoreAge)}
		s.restores = append(s.restores, restore)
		awayFrom = restore.backAt + 5*time.Second + within(3*time.Second)
	}
	first := s.restores[0]
	lost := func() time.Duration {
		return max(settlingTime, first.awayFrom-time.Duration(r.Int64N(int64(first.age))))
	}
	order := r.Perm(scheduleTargets)
	for i := range r.IntN(3) {
		at := min(lost(), first.awayFrom-readWithin)
		s.departures = append(s.departures, departure{target: order[i], at: at, abrupt: true})
	}
	for i := range r.IntN(3) {
		s.arrivals[order[3+i]] = min(lost(), first.awayFrom-readWithin)
	}
	for i := range r.IntN(2) {
		s.starts = append(s.starts, targetStart{target: order[6+i], at: lost()})
	}
	for range r.IntN(3) {
		s.configs = append(s.configs, lost())
	}
	slices.Sort(s.configs)
	if r.IntN(2) == 0 {
		s.restarts = append(s.restarts, restartSome(r, first.backAt-time.Second+within(2*time.Second), s.instancesPerZone))
	}
	if r.IntN(3) == 0 {
		cut := restartSome(r, first.awayFrom-time.Second+within(3*time.Second), s.instancesPerZone)
		cut.partitioned = true
		s.restarts = append(s.restarts, cut)
	}
	if r.IntN(3) == 0 {
		s.pauses = pauseSeries(r, s.instancesPerZone*scheduleZones, first.backAt)
	}
	if !s.witnessed() {
		s.pauses = nil
	}
	for _, restore := range s.restores {
		for target := range scheduleTargets {
			s.cuts = append(s.cuts, targetSpan{span{restore.awayFrom, restore.backAt}, target})
		}
	}
	return s
}

// witnessed reports whether an instance runs all the time, so that what only the others knew before their restarts is known.
func (s *restoreSchedule) witnessed() bool {
	for i := range s.instancesPerZone * scheduleZones {
		restarted := slices.ContainsFunc(s.restarts, func(c restart) bool { return slices.Contains(c.instances, i) })
		if !restarted && !slices.ContainsFunc(s.pauses, func(p pause) bool { return p.instance == i }) {
			return true
		}
	}
	return false
}

// restoreRun is a run of a schedule with restores.
type restoreRun struct {
	*lateTargets
	s restoreSchedule
	// newestConfig is the newest configuration that the operator wrote, at configAt.
	newestConfig uint64
	configAt     time.Duration
	// usedOnce holds the targets that each instance used since its start, and versions the newest configuration that it had in force.
	usedOnce map[int]map[int]bool
	versions map[int]uint64
	// floors holds the newest configuration that another instance, which this one can reach, had in force when it started.
	floors map[int]uint64
}

func (m *restoreRun) scheduleRestores() {
	for _, restore := range m.s.restores {
		m.sim.after(restore.awayFrom, func() { m.sim.store.update(func() { m.sim.store.behavior = storeRefuses }) })
		m.sim.after(restore.backAt, func() { m.restore(restore) })
	}
	for i, at := range m.s.configs {
		m.sim.after(at, func() { m.putConfig(uint64(2 + i)) })
	}
	for target, at := range m.s.arrivals {
		m.sim.after(at, func() { m.arrive(m.list[target]) })
	}
}

// arrive starts a target for the first time.
func (m *restoreRun) arrive(t *lateTarget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.running = true
	m.scheduleHeartbeat(t, t.incarnation, 0)
}

func (m *restoreRun) putConfig(version uint64) {
	m.mu.Lock()
	m.newestConfig, m.configAt = version, m.sim.now()
	m.mu.Unlock()
	m.sim.store.putConfig(version)
}

// restore replaces the content of the store. The entries that it has then expire unless their targets send heartbeats.
func (m *restoreRun) restore(restore storeRestore) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := restore.backAt - restore.awayFrom + restore.age
	m.sim.store.restore(lost)
	m.sim.store.update(func() {
		m.sim.store.behavior = storeServes
		entries := m.sim.store.newestEntries()
		for _, t := range m.list {
			t.stored = nil
			for _, c := range entries {
				if c.ID == t.entry.ID {
					t.stored, t.writtenAt, t.presentSince = c.Entry, m.sim.now(), m.sim.now()
				}
			}
		}
	})
	for _, t := range m.list {
		if t.stored != nil {
			at := t.writtenAt
			time.AfterFunc(missedHeartbeats*targetHeartbeat, func() { m.expire(t, at) })
		}
	}
	if m.newestConfig > 0 {
		version := m.newestConfig
		time.AfterFunc(time.Duration(m.random.Int64N(int64(configWrittenWithin))), func() { m.putConfig(version) })
	}
}

// recovering reports whether the store is away at a time, or has been back for less than the time that it takes to know again
// what it lost.
func (m *restoreRun) recovering(at time.Duration) bool {
	return slices.ContainsFunc(m.s.restores, func(r storeRestore) bool { return at >= r.awayFrom && at < r.backAt+noticedWithin })
}

// check records each departed target in use, each running one that is not in use, and each configuration older than one that was
// in force.
func (m *restoreRun) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.sim.now()
	for i, n := range m.sim.nodes {
		view := n.View()
		if m.sim.stops[i] == nil || view == nil {
			delete(m.usedOnce, i)
			delete(m.versions, i)
			m.floors[i] = m.newestInForce(i, at)
			continue
		}
		m.checkConfig(i, view.Table.Version, at)
		if m.usedOnce[i] == nil {
			m.usedOnce[i] = map[int]bool{}
		}
		for index, t := range m.list {
			m.checkTarget(i, index, t, view.Pools["s"].Target(t.entry.ID) != nil, at)
		}
	}
}

// newestInForce returns the newest configuration in force on instances that an instance can reach.
func (m *restoreRun) newestInForce(i int, at time.Duration) uint64 {
	newest := uint64(0)
	disturbed := func(i int) bool {
		return m.sim.stops[i] == nil || m.sim.resumes[i] != nil || slices.ContainsFunc(m.s.restarts, func(c restart) bool {
			return c.partitioned && slices.Contains(c.instances, i) && at >= c.from && at < c.to+time.Second
		})
	}
	for other := range m.sim.nodes {
		if other != i && !disturbed(other) && !slices.ContainsFunc(m.s.restarts, func(c restart) bool {
			return c.partitioned && slices.Contains(c.instances, i) && at < c.to+time.Second
		}) {
			newest = max(newest, m.versions[other])
		}
	}
	return newest
}

func (m *restoreRun) checkConfig(i int, version uint64, at time.Duration) {
	if version < m.floors[i] {
		m.sim.addFailure("n%02d started with configuration %d while another instance had %d", i, version, m.floors[i])
	}
	if version < m.versions[i] {
		m.sim.addFailure("n%02d went back from configuration %d to %d", i, m.versions[i], version)
	}
	m.versions[i] = max(m.versions[i], version)
	if m.sim.undisturbed(i, at) && !m.recovering(at) && at > m.configAt+configBound && version < m.newestConfig {
		m.sim.addFailure("n%02d has configuration %d, not %d", i, version, m.newestConfig)
	}
}

func (m *restoreRun) checkTarget(i, index int, t *lateTarget, used bool, at time.Duration) {
	d := slices.IndexFunc(m.s.departures, func(d departure) bool { return d.target == index })
	undisturbed := m.sim.undisturbed(i, at)
	switch {
	case d >= 0 && used && at > m.s.departures[d].at+departureBound && undisturbed:
		m.sim.addFailure("n%02d uses t%d, which departed at %v", i, index, m.s.departures[d].at)
	case t.running && !used && m.usedOnce[i][index]:
		m.sim.addFailure("n%02d no longer uses t%d, which is running", i, index)
	case t.running && !used && undisturbed && !m.recovering(at) && at > m.s.arrivals[index]+departureBound && at > settlingTime:
		m.sim.addFailure("n%02d does not use t%d, which is running", i, index)
	}
	m.usedOnce[i][index] = m.usedOnce[i][index] || used && t.running
}

// simulateRestores runs a schedule and returns the failures.
func simulateRestores(t *testing.T, s restoreSchedule, seed uint64, random *rand.Rand) []failure {
	sim := newSimulation(s.schedule, seed)
	sim.store.hidesEra, sim.store.era = *restoreHidesEra, 1
	delays := rand.New(rand.NewPCG(seed, 29))
	sim.store.answerDelay = func() time.Duration { return lateAnswer(delays) }
	synctest.Test(t, func(*testing.T) {
		count := sim.instancesPerZone * scheduleZones
		sim.nodes, sim.stops, sim.startedAt = make([]*Node, count), make([]func(), count), time.Now()
		m := &restoreRun{
			lateTargets: &lateTargets{sim: sim, s: s.lateSchedule, random: rand.New(rand.NewPCG(seed, 28)), arrives: map[int]bool{}}, s: s,
			usedOnce: map[int]map[int]bool{}, versions: map[int]uint64{}, floors: map[int]uint64{},
		}
		for target := range s.arrivals {
			m.arrives[target] = true
		}
		sim.onConfigure = func(_ int, c *Config) { c.Prober = m }
		m.start()
		m.scheduleRestores()
		for i := range count {
			sim.startNode(i)
		}
		for sim.now() < settlingTime+scheduleSpan+20*time.Second {
			time.Sleep(checkInterval)
			sim.applyRestarts()
			sim.applyPauses(random)
			m.check()
		}
		m.mu.Lock()
		for _, target := range m.list {
			target.running = false
		}
		m.mu.Unlock()
		for i := range count {
			if sim.stops[i] != nil {
				sim.resume(i, loopFirst)
				sim.stops[i]()
			}
		}
		time.Sleep(time.Minute)
	})
	return sim.failures
}

// lateAnswer returns how much later than executed an answer arrives: mostly at once, sometimes long after.
func lateAnswer(r *rand.Rand) time.Duration {
	if r.IntN(20) > 0 {
		return 0
	}
	return time.Duration(r.Int64N(int64(400 * time.Millisecond)))
}

// Guards against what goes back with the store when it is restored from an older copy: a departed target that is used again, a
// target of the lost time that is dropped although it runs, an older configuration.
func TestRestoresUnderRandomTroubles(t *testing.T) {
	failed := 0
	for i := range *restoreSchedules / scheduleDivisor {
		seed := *restoreSeed + uint64(i)
		random := rand.New(rand.NewPCG(seed, 27))
		s := randomRestoreSchedule(random)
		if failures := simulateRestores(t, s, seed, random); len(failures) > 0 {
			failed++
			t.Errorf("seed %d: %s\n\t%d failures: %v", seed, s, len(failures), failures[:min(len(failures), 4)])
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d schedules failed", failed, *restoreSchedules/scheduleDivisor)
	}
}
