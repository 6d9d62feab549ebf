package fleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
)

// simulation runs a fleet through a schedule in virtual time.
type simulation struct {
	schedule
	net       *virtualNet
	store     *virtualStore
	nodes     []*Node
	stops     []func()
	startedAt time.Time
	departed  map[int]bool
	failures  []failure
	// resumes end the pauses of the instances that are paused.
	resumes map[int]func(resumeOrder)
	// keepsLapsed checks that instances keep all running targets in use, also while they or the store are disturbed.
	keepsLapsed bool
	// sequenced gives the entries of targets sequences.
	sequenced bool
	// onConfigure changes the configuration of a node before it starts. onStarted is called after a node was started,
	// onStopping before it stops, and onAllStarted after all were started. All may be nil.
	onConfigure  func(i int, c *Config)
	onStarted    func(i int, n *Node)
	onStopping   func(i int)
	onAllStarted func()
}

// failure is a violated bound. Its span is the first and the last time at which the violation was seen.
type failure struct {
	span
	what string
}

func (f failure) String() string { return fmt.Sprintf("%v to %v: %s", f.from, f.to, f.what) }

func (sim *simulation) now() time.Duration { return time.Since(sim.startedAt) }

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7000", i/250, i%scheduleZones, 1+i%250) }

func (sim *simulation) startNode(i int) {
	self := discovery.Member{ID: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%scheduleZones), Address: address(i), Capacity: testCapacity}
	log := slog.New(slog.DiscardHandler)
	if *scheduleTrace {
		log = slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: sim.relativeTime})).With("instance", self.ID)
	}
	seeds := []string{"10.0.0.1", "10.0.1.2", "10.0.2.3"}
	var configure func(*Config)
	if sim.onConfigure != nil {
		configure = func(c *Config) { sim.onConfigure(i, c) }
	}
	sim.nodes[i], sim.stops[i] = startVirtualNode(sim.net, sim.store, self, seeds, log, configure)
	if sim.onStarted != nil {
		sim.onStarted(i, sim.nodes[i])
	}
}

func (sim *simulation) relativeTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Duration("at", sim.now())
	}
	return a
}

func targetEntry(i int, draining bool) *registry.Entry {
	return &registry.Entry{
		ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.1.0.%d:80", 1+i), Zone: fmt.Sprintf("z%d", i%scheduleZones),
		Service: "s", Slots: 4, Draining: draining, Born: 1,
	}
}

// The sequences of the entries of targets: the first one, one written again after an outage, and one that drains. Later
// heartbeats do not change the entry.
const (
	firstSequence    = 1
	returnedSequence = 10
	drainingSequence = 20
)

// entry returns an entry of a target with a sequence, if the targets of the simulation have one.
func (sim *simulation) entry(i int, sequence int64, draining bool) *registry.Entry {
	e := targetEntry(i, draining)
	if sim.sequenced {
		e.Sequence = sequence
	}
	return e
}

// after runs a step of the schedule at its time.
func (sim *simulation) after(at time.Duration, step func()) { time.AfterFunc(at, step) }

func (sim *simulation) scheduleEvents(random *rand.Rand) {
	for _, o := range sim.outages {
		sim.scheduleOutage(o, random)
	}
	for _, d := range sim.departures {
		id := targetEntry(d.target, false).ID
		sim.after(d.at, func() { sim.deregister(d, id) })
	}
	for _, c := range sim.restarts {
		for _, i := range c.instances {
			if c.partitioned {
				sim.after(c.from, func() { sim.net.setPartitioned(address(i), true) })
				sim.after(c.to, func() { sim.net.setPartitioned(address(i), false) })
			}
		}
	}
}

// deregister records a departure. While the store is down the target cannot announce that it drains, but its entry is
// removed all the same.
func (sim *simulation) deregister(d departure, id string) {
	sim.store.update(func() { sim.departed[d.target] = true })
	if d.abrupt || sim.storeIsDown() {
		sim.store.append(id, nil)
		return
	}
	sim.store.append(id, sim.entry(d.target, drainingSequence, true))
	time.AfterFunc(departureBound+drainTime, func() { sim.store.append(id, nil) })
}

func (sim *simulation) storeIsDown() bool {
	at := sim.now()
	return slices.ContainsFunc(sim.outages, func(o outage) bool { return o.share == 1 && o.behavior != storeServes && at >= o.from && at < o.to })
}

func (sim *simulation) scheduleOutage(o outage, random *rand.Rand) {
	refused := map[string]storeBehavior{}
	for _, i := range random.Perm(len(sim.nodes))[:int(o.share*float64(len(sim.nodes)))] {
		refused[fmt.Sprintf("n%02d", i)] = o.behavior
	}
	returnAt := make([]time.Duration, scheduleTargets)
	for i := range returnAt {
		returnAt[i] = o.to + 50*time.Millisecond + time.Duration(random.Int64N(int64(entriesReturnWithin-50*time.Millisecond)))
	}
	sim.after(o.from, func() {
		sim.store.update(func() {
			sim.store.slow = o.slow
			switch {
			case o.trimHistory:
				sim.store.firstOffset = int64(len(sim.store.records))
			case o.share == 1:
				sim.store.behavior = o.behavior
			default:
				sim.store.behaviorByInstance = refused
			}
		})
	})
	sim.after(o.to, func() {
		sim.store.update(func() { sim.store.slow, sim.store.behavior, sim.store.behaviorByInstance = false, storeServes, nil })
	})
	if o.missHeartbeats {
		sim.scheduleMissedHeartbeats(o, random)
	}
	if !o.expireEntries {
		return
	}
	sim.after((o.from+o.to)/2, func() {
		for i := range scheduleTargets {
			sim.store.append(targetEntry(i, false).ID, nil)
		}
	})
	for i := range scheduleTargets {
		sim.after(returnAt[i], func() {
			departed := false
			sim.store.update(func() { departed = sim.departed[i] })
			if !departed {
				sim.store.append(targetEntry(i, false).ID, sim.entry(i, returnedSequence, false))
			}
		})
	}
}

// run runs the schedule and collects the violations of the bounds.
func (sim *simulation) run(random *rand.Rand) {
	count := sim.instancesPerZone * scheduleZones
	sim.nodes, sim.stops, sim.startedAt = make([]*Node, count), make([]func(), count), time.Now()
	for i := range scheduleTargets {
		sim.store.append(targetEntry(i, false).ID, sim.entry(i, firstSequence, false))
	}
	for i := range count {
		sim.startNode(i)
	}
	sim.scheduleEvents(random)
	if sim.onAllStarted != nil {
		sim.onAllStarted()
	}
	end := settlingTime + scheduleSpan + 10*time.Second
	for sim.now() < end {
		time.Sleep(checkInterval)
		sim.applyRestarts()
		sim.applyPauses(random)
		sim.checkBounds()
	}
	for i := range count {
		if sim.stops[i] == nil {
			continue
		}
		sim.resume(i, loopFirst)
		if sim.onStopping != nil {
			sim.onStopping(i)
		}
		sim.stops[i]()
	}
	// Calls in flight end by themselves.
	time.Sleep(time.Minute)
}

// applyRestarts stops and starts the instances whose restart is due.
func (sim *simulation) applyRestarts() {
	at := sim.now()
	for i := range sim.nodes {
		stopped := slices.ContainsFunc(sim.restarts, func(c restart) bool {
			return !c.partitioned && slices.Contains(c.instances, i) && at >= c.from && at < c.to
		})
		switch {
		case stopped && sim.stops[i] != nil:
			sim.resume(i, loopFirst)
			if sim.onStopping != nil {
				sim.onStopping(i)
			}
			sim.stops[i]()
			sim.stops[i] = nil
		case !stopped && sim.stops[i] == nil:
			sim.startNode(i)
		}
	}
}

// checkBounds records each target that is still in use on an instance after the bound on its departure, and each
// running target that is not in use.
func (sim *simulation) checkBounds() {
	at := sim.now()
	for i, n := range sim.nodes {
		view := n.View()
		if sim.stops[i] == nil || view == nil {
			continue
		}
		departed := map[int]bool{}
		for _, d := range sim.departures {
			departed[d.target] = departed[d.target] || at >= d.at
			bound := d.at + departureBound
			used := view.Pools["s"].Target(targetEntry(d.target, false).ID) != nil
			if used && at > bound && sim.storeStable(d.at) && sim.undisturbed(i, at) {
				sim.addFailure("n%02d uses t%d, which departed at %v (abrupt %v)", i, d.target, d.at, d.abrupt)
			}
		}
		for t := range scheduleTargets {
			if !departed[t] && (sim.undisturbed(i, at) || sim.keepsLapsed) && view.Pools["s"].Target(targetEntry(t, false).ID) == nil {
				sim.addFailure("n%02d does not use t%d, which is running", i, t)
			}
		}
	}
}

// addFailure records the first and the last time of each failure.
func (sim *simulation) addFailure(format string, a ...any) {
	what, at := fmt.Sprintf(format, a...), sim.now()
	i := slices.IndexFunc(sim.failures, func(f failure) bool { return f.what == what })
	if i < 0 {
		sim.failures = append(sim.failures, failure{span{at, at}, what})
		return
	}
	sim.failures[i].to = at
}

func newSimulation(s schedule, seed uint64) *simulation {
	return &simulation{
		schedule: s, departed: map[int]bool{}, resumes: map[int]func(resumeOrder){},
		net:   &virtualNet{random: rand.New(rand.NewPCG(seed, 23)), nodes: map[string]*Node{}, partitioned: map[string]bool{}, lossRate: 0.01},
		store: &virtualStore{},
	}
}
