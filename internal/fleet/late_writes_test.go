package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

var (
	lateSchedules = flag.Int("fleet.late", 60, "number of random schedules with late writes")
	lateSeed      = flag.Uint64("fleet.lateseed", 1, "seed of the first schedule with late writes")
)

const (
	// The store executes a late write this long after it was sent.
	minLateness = time.Second
	maxLateness = 6 * time.Second
	// provenAfter is how long the store has to keep the entry of a running target until every undisturbed instance has to use it:
	// until no late write of before its removal can be left, longer than the store keeps the entry of a target that sends no
	// heartbeats, and the time to read it.
	provenAfter = maxLateness + missedHeartbeats*targetHeartbeat + 3500*time.Millisecond
	// foundAfter is how long the store has to keep the entry of a running target that answers probes until every instance has to use
	// it, as long as no instance is disturbed.
	foundAfter = time.Second
)

// lateSchedule is a schedule of targets whose heartbeats the store may execute late.
type lateSchedule struct {
	schedule
	// late is the period in which heartbeats are late, with a probability of lateShare.
	late      span
	lateShare float64
	// cuts are periods in which the heartbeats of a target do not reach the store.
	cuts []targetSpan
	// starts are new starts of targets under the same id.
	starts []targetStart
	// unprobed is true if the targets do not answer probes.
	unprobed bool
}

type targetSpan struct {
	span
	target int
}

type targetStart struct {
	target int
	at     time.Duration
	// clockStep is by how much the clock of the target stepped back before the start.
	clockStep time.Duration
}

func (s lateSchedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s; %.2f of the heartbeats late %v to %v; unprobed %t", s.schedule, s.lateShare, s.late.from, s.late.to, s.unprobed)
	for _, c := range s.cuts {
		fmt.Fprintf(&b, "; t%d cut off %v to %v", c.target, c.from, c.to)
	}
	for _, st := range s.starts {
		fmt.Fprintf(&b, "; t%d starts again %v, clock back %v", st.target, st.at, st.clockStep)
	}
	return b.String()
}

func randomLateSchedule(r *rand.Rand) lateSchedule {
	within := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	s := lateSchedule{schedule: schedule{instancesPerZone: 1 + r.IntN(3)}, lateShare: 0.2 + 0.2*r.Float64()}
	s.late.from = settlingTime + within(4*time.Second)
	s.late.to = s.late.from + time.Second + within(4*time.Second)
	order := r.Perm(scheduleTargets)
	for i := range 1 + r.IntN(3) {
		s.departures = append(s.departures, departure{target: order[i], at: s.late.from + within(s.late.to-s.late.from+2*time.Second), abrupt: true})
	}
	for i := range r.IntN(3) {
		at := settlingTime + within(10*time.Second)
		s.cuts = append(s.cuts, targetSpan{span{at, at + time.Second + within(12*time.Second)}, order[4+i]})
	}
	for i := range r.IntN(3) {
		st := targetStart{target: order[6+i%2], at: s.late.from + within(10*time.Second)}
		if r.IntN(2) == 0 {
			st.clockStep = within(20 * time.Second)
		}
		s.starts = append(s.starts, st)
	}
	if r.IntN(2) == 0 {
		s.restarts = append(s.restarts, restartSome(r, s.late.from+within(6*time.Second), s.instancesPerZone))
	}
	s.unprobed = r.IntN(2) == 0
	return s
}

// restartSome restarts about a third of the instances, but not all seeds: instances that start learn of departures from those that
// run, through a seed.
func restartSome(r *rand.Rand, from time.Duration, instancesPerZone int) restart {
	c := restart{span: span{from, from + 100*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))}}
	keptSeed := r.IntN(scheduleZones)
	for i := range instancesPerZone * scheduleZones {
		if i != keptSeed && r.IntN(3) == 0 {
			c.instances = append(c.instances, i)
		}
	}
	return c
}

// lateTargets models the targets and the entries that the store keeps of them.
type lateTargets struct {
	sim    *simulation
	s      lateSchedule
	mu     sync.Mutex
	random *rand.Rand
	list   []*lateTarget
	// arrives holds the targets that do not run yet at the beginning.
	arrives map[int]bool
}

// lateTarget is a target with its entry in the store.
type lateTarget struct {
	entry registry.Entry
	// incarnation counts the starts of the target. running is false once it departed.
	incarnation int
	running     bool
	// stored is the entry in the store, nil if there is none. It was written last at writtenAt and is present since presentSince.
	stored                  *registry.Entry
	writtenAt, presentSince time.Duration
}

func (m *lateTargets) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range scheduleTargets {
		t := &lateTarget{entry: *targetEntry(i, false), running: !m.arrives[i]}
		t.entry.Born = 1_000_000 + int64(i)
		m.list = append(m.list, t)
		m.scheduleHeartbeat(t, t.incarnation, 0)
	}
	for _, d := range m.s.departures {
		target := m.list[d.target]
		m.sim.after(d.at, func() { m.depart(target) })
	}
	for _, st := range m.s.starts {
		target := m.list[st.target]
		m.sim.after(st.at, func() { m.startAgain(target, st) })
	}
}

// scheduleHeartbeat sends the next heartbeat of an incarnation of a target, and with some jitter those after it.
func (m *lateTargets) scheduleHeartbeat(t *lateTarget, incarnation int, after time.Duration) {
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if t.incarnation != incarnation || !t.running {
			return
		}
		t.entry.Sequence++
		m.send(t, t.entry)
		m.scheduleHeartbeat(t, incarnation, targetHeartbeat-time.Duration(m.random.Int64N(int64(targetHeartbeat/8))))
	})
}

// send sends a heartbeat to the store, which executes it at once, late, or never.
func (m *lateTargets) send(t *lateTarget, e registry.Entry) {
	at, index := m.sim.now(), slices.Index(m.list, t)
	if slices.ContainsFunc(m.s.cuts, func(c targetSpan) bool { return c.target == index && at >= c.from && at < c.to }) {
		return
	}
	if at < m.s.late.from || at >= m.s.late.to || m.random.Float64() >= m.s.lateShare {
		m.execute(t, e)
		return
	}
	time.AfterFunc(minLateness+time.Duration(m.random.Int64N(int64(maxLateness-minLateness))), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.execute(t, e)
	})
}

// execute executes a heartbeat. The store records it only if more than the sequence changes.
func (m *lateTargets) execute(t *lateTarget, e registry.Entry) {
	at := m.sim.now()
	t.writtenAt = at
	time.AfterFunc(missedHeartbeats*targetHeartbeat, func() { m.expire(t, at) })
	if t.stored == nil {
		t.presentSince = at
	} else if sameButSequence(*t.stored, e) {
		return
	}
	t.stored = &e
	m.sim.store.append(e.ID, &e)
}

func sameButSequence(a, b registry.Entry) bool {
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// expire removes the entry of a target that was written last at a time.
func (m *lateTargets) expire(t *lateTarget, writtenAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.stored != nil && t.writtenAt == writtenAt {
		t.stored = nil
		m.sim.store.append(t.entry.ID, nil)
	}
}

// depart lets a target leave without having announced that it drains.
func (m *lateTargets) depart(t *lateTarget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.running = false
	if t.stored != nil {
		t.stored = nil
	}
	m.sim.store.append(t.entry.ID, nil)
}

// startAgain replaces the process of a target by a new one with the same id.
func (m *lateTargets) startAgain(t *lateTarget, st targetStart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.running {
		return
	}
	t.incarnation++
	t.entry.Sequence = 0
	t.entry.Born = 1_000_000 + (st.at - st.clockStep).Milliseconds()
	m.scheduleHeartbeat(t, t.incarnation, 0)
}

// Open implements Prober.
func (m *lateTargets) Open(_, _, id string) Probe {
	i := slices.IndexFunc(m.list, func(t *lateTarget) bool { return t.entry.ID == id })
	return &lateProbe{m, m.list[i]}
}

// lateProbe probes a target. A departed one still answers, and says that it is not healthy.
type lateProbe struct {
	m      *lateTargets
	target *lateTarget
}

func (p *lateProbe) Read(context.Context) (dispatch.LoadReport, error) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	if p.m.s.unprobed {
		return dispatch.LoadReport{}, errSilentTarget
	}
	return dispatch.LoadReport{Slots: 4, Slowdown: 1, Healthy: p.target.running}, nil
}

func (*lateProbe) Close() {}

// check records each departed target that is in use after the bound, and each running one that is not in use although the store
// has kept its entry for provenAfter.
func (m *lateTargets) check(keptOut map[string]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.sim.now()
	for i, n := range m.sim.nodes {
		view := n.View()
		if m.sim.stops[i] == nil || view == nil || !m.sim.undisturbed(i, at) {
			continue
		}
		for index, t := range m.list {
			used := view.Pools["s"].Target(t.entry.ID) != nil
			d := slices.IndexFunc(m.s.departures, func(d departure) bool { return d.target == index })
			switch {
			case d >= 0 && used && at > m.s.departures[d].at+departureBound:
				m.sim.addFailure("n%02d uses t%d, which departed at %v", i, index, m.s.departures[d].at)
			case t.running && !used && t.stored != nil && at-t.presentSince > provenAfter:
				m.sim.addFailure("n%02d does not use t%d, which is running", i, index)
			case t.running && !used && t.stored != nil:
				keptOut[t.entry.ID] += checkInterval
			}
		}
	}
}

// simulateLateWrites runs a schedule. It returns the failures, and for how long running targets with an entry in the store were not in
// use, as a sum over the instances.
func simulateLateWrites(t *testing.T, s lateSchedule, seed uint64) ([]failure, time.Duration) {
	sim := newSimulation(s.schedule, seed)
	keptOut := map[string]time.Duration{}
	synctest.Test(t, func(*testing.T) {
		count := sim.instancesPerZone * scheduleZones
		sim.nodes, sim.stops, sim.startedAt = make([]*Node, count), make([]func(), count), time.Now()
		m := &lateTargets{sim: sim, s: s, random: rand.New(rand.NewPCG(seed, 25))}
		sim.onConfigure = func(_ int, c *Config) { c.Prober = m }
		m.start()
		for i := range count {
			sim.startNode(i)
		}
		for sim.now() < settlingTime+scheduleSpan+15*time.Second {
			time.Sleep(checkInterval)
			sim.applyRestarts()
			m.check(keptOut)
		}
		m.mu.Lock()
		for _, target := range m.list {
			target.running = false
		}
		m.mu.Unlock()
		for i := range count {
			if sim.stops[i] != nil {
				sim.stops[i]()
			}
		}
		time.Sleep(time.Minute)
	})
	total := time.Duration(0)
	for _, d := range keptOut {
		total += d
	}
	return sim.failures, total
}

// Guards against departed targets that are used again because the store executes a heartbeat late, and against running targets that
// are kept out of use for it: after lost heartbeats, a cut, a start under the same id, or a clock that stepped back.
func TestLateWritesUnderRandomTroubles(t *testing.T) {
	keptOut := time.Duration(0)
	for i := range *lateSchedules / scheduleDivisor {
		seed := *lateSeed + uint64(i)
		s := randomLateSchedule(rand.New(rand.NewPCG(seed, 26)))
		failures, out := simulateLateWrites(t, s, seed)
		keptOut += out
		if len(failures) > 0 {
			t.Errorf("seed %d: %s\n\t%d failures: %v", seed, s, len(failures), failures[:min(len(failures), 4)])
		}
	}
	t.Logf("running targets with an entry were not in use for %v in all", keptOut)
}

// Guards against running targets that are kept out of use for long after their heartbeats did not reach the store for a while.
func TestAnsweringTargetIsBackSoonAfterLostHeartbeats(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 28))
		s := lateSchedule{schedule: schedule{instancesPerZone: 2}}
		for target := range 2 {
			from := settlingTime + time.Duration(r.Int64N(int64(4*time.Second)))
			lost := missedHeartbeats*targetHeartbeat + time.Duration(r.Int64N(int64(4*time.Second)))
			s.cuts = append(s.cuts, targetSpan{span{from, from + lost}, target})
		}
		failures, out := simulateLateWrites(t, s, seed)
		limit := time.Duration(len(s.cuts)*s.instancesPerZone*scheduleZones) * foundAfter
		if len(failures) > 0 || out > limit {
			t.Errorf("seed %d: %s\n\tnot in use for %v in all, limit %v; failures %v", seed, s, out, limit, failures)
		}
	}
}

// Guards against an instance that lists the targets right after it learned of a departure, and then does not tell of it an instance
// that started at the same time.
func TestDepartureIsRepeatedAfterListing(t *testing.T) {
	peer := newQuietNode(t, newMember("b1", "b"))
	entry := targetEntry(0, false)
	entry.Born, entry.Sequence = 7, 3
	listing := []registry.Change{{ID: entry.ID, Offset: 1, Entry: entry}}
	peer.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 2}}, testStart)
	peer.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: entry.ID, Offset: 2}}, next: topic.Position{Offset: 3}}, testStart)

	n, other := newQuietNode(t, newMember("a1", "a")), newQuietNode(t, newMember("c1", "c"))
	n.learnDepartures(peer.registry.RecentDepartures(testStart), testStart)
	for _, started := range []*Node{n, other} {
		started.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 3}}, testStart)
	}
	other.mergeTargetsUpdate(n.targetsUpdate(testStart), testStart)
	late := *entry
	late.Sequence = 8
	other.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: entry.ID, Offset: 3, Entry: &late}}, next: topic.Position{Offset: 4}}, testStart)
	if len(other.registry.Usable()) != 0 {
		t.Error("a departed target is used because of a late write")
	}
}

// Guards against a departed target that is used again after all instances were restarted: none of them knows of the departure, and
// the late write looks like the entry of a new target.
func TestLateWriteAfterRestartOfAll(t *testing.T) {
	failed := 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 27))
		s := lateSchedule{schedule: schedule{instancesPerZone: 1}, late: span{settlingTime, settlingTime + 2*time.Second}, lateShare: 0.5}
		departsAt := s.late.to + time.Duration(r.Int64N(int64(time.Second)))
		s.departures = []departure{{target: 0, at: departsAt, abrupt: true}}
		s.restarts = []restart{{span: span{departsAt + 100*time.Millisecond, departsAt + 300*time.Millisecond}, instances: []int{0, 1, 2}}}
		failures, _ := simulateLateWrites(t, s, seed)
		if len(failures) > 0 {
			failed++
			t.Logf("seed %d: %s\n\t%v", seed, s, failures[:min(len(failures), 2)])
		}
	}
	if failed > 0 {
		t.Errorf("%d of 20 schedules failed", failed)
	}
}
