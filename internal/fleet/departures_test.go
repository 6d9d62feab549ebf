package fleet

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/registry"
)

var (
	schedules     = flag.Int("fleet.schedules", 30, "number of random schedules of departures")
	scheduleSeed  = flag.Uint64("fleet.seed", 1, "seed of the first schedule of departures")
	scheduleTrace = flag.Bool("fleet.trace", false, "log what the instances of a schedule do")
)

// The bounds of the platform's pages: how long after its acknowledgement a departure binds, how long instance and store must have been
// without disruption for that, and when the entries of living targets are back after an outage.
const (
	departureBound  = 2 * time.Second
	stabilityWindow = 3 * time.Second
	entriesBack     = 2 * time.Second
)

const (
	settling     = 5 * time.Second
	scheduleSpan = 12 * time.Second
	checkStep    = 20 * time.Millisecond
	linger       = 15 * time.Second
)

// span is a time from the start of a schedule.
type span struct{ from, to time.Duration }

// touches reports whether a disruption is less than the stability window before a time, or lasts.
func (s span) touches(at time.Duration) bool { return at >= s.from && at < s.to+stabilityWindow }

// outage is a disruption of the store.
type outage struct {
	span
	how refusal
	// share of the instances that are turned away; 1 is an outage of the whole store.
	share float64
	slow  bool
	// lapse removes the entries of all targets meanwhile.
	lapse bool
	// trim forgets the history.
	trim bool
}

// departure is a target that leaves at a time. One that is abrupt does not say that it drains.
type departure struct {
	target int
	at     time.Duration
	abrupt bool
}

// restart ends instances at the beginning of a span and starts them again at its end; cut instances run on without a path.
type restart struct {
	span
	instances []int
	cut       bool
}

type schedule struct {
	perZone    int
	outages    []outage
	departures []departure
	restarts   []restart
}

const (
	zonesOfSchedule   = 3
	targetsOfSchedule = 8
)

func drawSchedule(r *rand.Rand) schedule {
	s := schedule{perZone: 2 + r.IntN(3)}
	within := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	moments := []time.Duration{settling + within(scheduleSpan)}
	for range r.IntN(3) {
		from := settling + within(scheduleSpan)
		o := outage{span: span{from, from + 500*time.Millisecond + within(6*time.Second)}, share: 1, how: serves}
		switch r.IntN(6) {
		case 0, 1:
			o.how, o.lapse = refuses+refusal(r.IntN(2)), r.IntN(2) == 0
		case 2, 3:
			o.how, o.share = refuses+refusal(r.IntN(2)), 0.3+0.65*r.Float64()
		case 4:
			o.slow = true
		case 5:
			o.trim, o.to = true, o.from+1260*time.Millisecond
		}
		s.outages = append(s.outages, o)
		moments = append(moments, o.from, o.to)
	}
	for range r.IntN(3) {
		from := settling + within(scheduleSpan)
		if r.IntN(2) == 0 {
			from = max(settling, moments[r.IntN(len(moments))]-time.Second+within(3*time.Second))
		}
		c := restart{span: span{from, from + 100*time.Millisecond + within(4*time.Second)}, cut: r.IntN(2) == 0}
		count := s.perZone * zonesOfSchedule
		for i := range count {
			if r.Float64() < []float64{0.15, 0.4, 1}[r.IntN(3)] {
				c.instances = append(c.instances, i)
			}
		}
		s.restarts = append(s.restarts, c)
		moments = append(moments, c.from, c.to)
	}
	order := r.Perm(targetsOfSchedule)
	for i := range 1 + r.IntN(4) {
		at := moments[r.IntN(len(moments))] - 1500*time.Millisecond + within(3*time.Second)
		s.departures = append(s.departures, departure{order[i], max(at, settling), r.IntN(2) == 0})
	}
	return s
}

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d instances a zone", s.perZone)
	for _, o := range s.outages {
		fmt.Fprintf(&b, "; store %v to %v: how %d share %.2f slow %v lapse %v trim %v", o.from, o.to, o.how, o.share, o.slow, o.lapse, o.trim)
	}
	for _, c := range s.restarts {
		fmt.Fprintf(&b, "; instances %v %v to %v cut %v", c.instances, c.from, c.to, c.cut)
	}
	for _, d := range s.departures {
		fmt.Fprintf(&b, "; t%d leaves %v abrupt %v", d.target, d.at, d.abrupt)
	}
	return b.String()
}

// storeStable reports whether no disruption of the whole store is less than the stability window before a time.
func (s schedule) storeStable(at time.Duration) bool {
	return !slices.ContainsFunc(s.outages, func(o outage) bool { return o.share == 1 && o.touches(at) })
}

// inTouch reports whether rules with a bound hold for an instance at a time.
func (s schedule) inTouch(instance int, at time.Duration) bool {
	return s.storeStable(at) && !slices.ContainsFunc(s.restarts, func(c restart) bool {
		return slices.Contains(c.instances, instance) && c.touches(at)
	})
}

// play runs a fleet through a schedule.
type play struct {
	schedule
	net      *virtualNet
	store    *virtualStore
	nodes    []*Node
	stops    []func()
	begin    time.Time
	absent   map[int]bool
	failures []failure
	// configure changes the configuration of a node that starts, started and ended are called when it has started and before it ends,
	// and begun when all have started. All may be nil.
	configure func(i int, c *Config)
	started   func(i int, n *Node)
	ended     func(i int)
	begun     func()
}

// failure is a broken bound, with the times from and to which it was seen.
type failure struct {
	span
	what string
}

func (f failure) String() string { return fmt.Sprintf("%v to %v: %s", f.from, f.to, f.what) }

func (p *play) now() time.Duration { return time.Since(p.begin) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i%zonesOfSchedule, 1+i) }

func (p *play) start(i int) {
	self := discovery.Member{ID: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%zonesOfSchedule), Address: address(i), Capacity: usualCapacity}
	log := slog.New(slog.DiscardHandler)
	if *scheduleTrace {
		log = slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: p.traceTime})).With("instance", self.ID)
	}
	seeds := []string{"10.0.0.1", "10.0.1.2", "10.0.2.3"}
	var configure func(*Config)
	if p.configure != nil {
		configure = func(c *Config) { p.configure(i, c) }
	}
	p.nodes[i], p.stops[i] = startVirtual(p.net, p.store, self, seeds, log, configure)
	if p.started != nil {
		p.started(i, p.nodes[i])
	}
}

func (p *play) traceTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Duration("at", p.now())
	}
	return a
}

func targetEntry(i int, draining bool) *registry.Entry {
	return &registry.Entry{
		ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.1.0.%d:80", 1+i), Zone: fmt.Sprintf("z%d", i%zonesOfSchedule),
		Service: "s", Slots: 4, Draining: draining, Born: 1,
	}
}

// after runs a step of the schedule at its time.
func (p *play) after(at time.Duration, step func()) { time.AfterFunc(at, step) }

func (p *play) arrange(random *rand.Rand) {
	for _, o := range p.outages {
		p.arrangeOutage(o, random)
	}
	for _, d := range p.departures {
		id := targetEntry(d.target, false).ID
		p.after(d.at, func() { p.leave(d, id) })
	}
	for _, c := range p.restarts {
		for _, i := range c.instances {
			if c.cut {
				p.after(c.from, func() { p.net.setCut(address(i), true) })
				p.after(c.to, func() { p.net.setCut(address(i), false) })
			}
		}
	}
}

// leave records a departure. While the store is away the target cannot say that it drains; its entry is removed all the same.
func (p *play) leave(d departure, id string) {
	p.store.change(func() { p.absent[d.target] = true })
	if d.abrupt || p.storeIsAway() {
		p.store.append(id, nil)
		return
	}
	p.store.append(id, targetEntry(d.target, true))
	time.AfterFunc(departureBound+linger, func() { p.store.append(id, nil) })
}

func (p *play) storeIsAway() bool {
	at := p.now()
	return slices.ContainsFunc(p.outages, func(o outage) bool { return o.share == 1 && o.how != serves && at >= o.from && at < o.to })
}

func (p *play) arrangeOutage(o outage, random *rand.Rand) {
	turnedAway := map[string]refusal{}
	for _, i := range random.Perm(len(p.nodes))[:int(o.share*float64(len(p.nodes)))] {
		turnedAway[fmt.Sprintf("n%02d", i)] = o.how
	}
	back := make([]time.Duration, targetsOfSchedule)
	for i := range back {
		back[i] = o.to + 50*time.Millisecond + time.Duration(random.Int64N(int64(entriesBack-50*time.Millisecond)))
	}
	p.after(o.from, func() {
		p.store.change(func() {
			p.store.slow = o.slow
			switch {
			case o.trim:
				p.store.first = int64(len(p.store.records))
			case o.share == 1:
				p.store.all = o.how
			default:
				p.store.some = turnedAway
			}
		})
	})
	p.after(o.to, func() { p.store.change(func() { p.store.slow, p.store.all, p.store.some = false, serves, nil }) })
	if !o.lapse {
		return
	}
	p.after((o.from+o.to)/2, func() {
		for i := range targetsOfSchedule {
			p.store.append(targetEntry(i, false).ID, nil)
		}
	})
	for i := range targetsOfSchedule {
		p.after(back[i], func() {
			gone := false
			p.store.change(func() { gone = p.absent[i] })
			if !gone {
				p.store.append(targetEntry(i, false).ID, targetEntry(i, false))
			}
		})
	}
}

// run plays the schedule and collects what breaks the bounds.
func (p *play) run(random *rand.Rand) {
	count := p.perZone * zonesOfSchedule
	p.nodes, p.stops, p.begin = make([]*Node, count), make([]func(), count), time.Now()
	for i := range targetsOfSchedule {
		p.store.append(targetEntry(i, false).ID, targetEntry(i, false))
	}
	for i := range count {
		p.start(i)
	}
	p.arrange(random)
	if p.begun != nil {
		p.begun()
	}
	end := settling + scheduleSpan + 10*time.Second
	for p.now() < end {
		time.Sleep(checkStep)
		p.applyRestarts()
		p.check()
	}
	for i := range count {
		if p.stops[i] == nil {
			continue
		}
		if p.ended != nil {
			p.ended(i)
		}
		p.stops[i]()
	}
	// Calls that are under way end by themselves.
	time.Sleep(time.Minute)
}

// applyRestarts stops and starts the instances whose restart is due.
func (p *play) applyRestarts() {
	at := p.now()
	for i := range p.nodes {
		stopped := slices.ContainsFunc(p.restarts, func(c restart) bool {
			return !c.cut && slices.Contains(c.instances, i) && at >= c.from && at < c.to
		})
		switch {
		case stopped && p.stops[i] != nil:
			if p.ended != nil {
				p.ended(i)
			}
			p.stops[i]()
			p.stops[i] = nil
		case !stopped && p.stops[i] == nil:
			p.start(i)
		}
	}
}

// check notes each target that is in use on an instance after its departure binds, and each living target that is not in use.
func (p *play) check() {
	at := p.now()
	for i, n := range p.nodes {
		view := n.View()
		if p.stops[i] == nil || view == nil {
			continue
		}
		departed := map[int]bool{}
		for _, d := range p.departures {
			departed[d.target] = departed[d.target] || at >= d.at
			bound := d.at + departureBound
			used := view.Pools["s"].Target(targetEntry(d.target, false).ID) != nil
			if used && at > bound && p.storeStable(d.at) && p.inTouch(i, at) {
				p.fail("n%02d uses t%d, which left at %v (abrupt %v)", i, d.target, d.at, d.abrupt)
			}
		}
		for t := range targetsOfSchedule {
			if !departed[t] && p.inTouch(i, at) && view.Pools["s"].Target(targetEntry(t, false).ID) == nil {
				p.fail("n%02d does not use t%d, which lives", i, t)
			}
		}
	}
}

// fail keeps the first and the last moment of each failure.
func (p *play) fail(format string, a ...any) {
	what, at := fmt.Sprintf(format, a...), p.now()
	i := slices.IndexFunc(p.failures, func(f failure) bool { return f.what == what })
	if i < 0 {
		p.failures = append(p.failures, failure{span{at, at}, what})
		return
	}
	p.failures[i].to = at
}

// playOne plays a schedule.
func playOne(t *testing.T, s schedule, seed uint64, random *rand.Rand) (schedule, []failure) {
	p := &play{
		schedule: s, absent: map[int]bool{},
		net:   &virtualNet{random: rand.New(rand.NewPCG(seed, 23)), nodes: map[string]*Node{}, cut: map[string]bool{}, loss: 0.01},
		store: &virtualStore{},
	}
	synctest.Test(t, func(*testing.T) { p.run(random) })
	return p.schedule, p.failures
}

// Guards against targets that left and stay in use, and against living ones that are given up, whatever combination of outages,
// instances that are turned away, restarts, cuts and lapsed entries comes at the moment.
func TestDeparturesBindUnderRandomTroubles(t *testing.T) {
	for i := range *schedules / scheduleShare {
		seed := *scheduleSeed + uint64(i)
		random := rand.New(rand.NewPCG(seed, 22))
		s, failures := playOne(t, drawSchedule(random), seed, random)
		if len(failures) > 0 {
			t.Errorf("seed %d: %s\n\t%d failures: %v", seed, s, len(failures), failures[:min(len(failures), 4)])
		}
	}
}

// Guards against a target that left just before an outage of the store and stays in use when the instances are in touch again: none of them
// reads for long after the return, and what they take for a lapsed entry stays in use for LapseGrace after that.
func TestDepartureJustBeforeAnOutageBinds(t *testing.T) {
	playDirected(t, 16, func(r *rand.Rand) schedule { return drawDepartureBeforeOutage(r, refuses) })
}

// Guards against the same where calls get no answer, so that those that wait for one at the return of the store try again late.
func TestDepartureJustBeforeASilentOutageBinds(t *testing.T) {
	playDirected(t, 40, func(r *rand.Rand) schedule { return drawDepartureBeforeOutage(r, silent) })
}

func drawDepartureBeforeOutage(r *rand.Rand, how refusal) schedule {
	from := settling + time.Duration(r.Int64N(int64(time.Second)))
	length := 3*time.Second + time.Duration(r.Int64N(int64(5*time.Second)))
	left := from - time.Duration(r.Int64N(int64(400*time.Millisecond)))
	return schedule{
		perZone:    2 + r.IntN(3),
		outages:    []outage{{span: span{from, from + length}, how: how, share: 1}},
		departures: []departure{{target: r.IntN(targetsOfSchedule), at: left, abrupt: true}},
	}
}

// Guards against departures that an instance does not learn of, or takes for lapses, while the store turns it away and all instances that are
// served are down or cut off.
func TestDepartureBindsWhereNoServedInstanceIsReached(t *testing.T) {
	for _, seed := range []uint64{304, 1043, 1489} {
		random := rand.New(rand.NewPCG(seed, 22))
		s, failures := playOne(t, drawSchedule(random), seed, random)
		if len(failures) > 0 {
			t.Errorf("seed %d: %s\n\t%v", seed, s, failures)
		}
	}
}

// Guards against departures that are read late while the store turns most instances away, those first whose turn it is: the next in line
// waited 300 ms for each that fails, so that what was known grew older than the bound.
func TestDepartureBindsWhileMostAreTurnedAway(t *testing.T) {
	playDirected(t, 32, func(r *rand.Rand) schedule {
		from := settling + time.Duration(r.Int64N(int64(time.Second)))
		return schedule{
			perZone: 4,
			outages: []outage{{span: span{from, from + 6*time.Second}, how: refuses + refusal(r.IntN(2)), share: 0.8}},
			departures: []departure{{
				target: r.IntN(targetsOfSchedule), at: from + time.Duration(r.Int64N(int64(4*time.Second))), abrupt: r.IntN(2) == 0,
			}},
		}
	})
}

// playDirected plays schedules of one pattern.
func playDirected(t *testing.T, plays int, draw func(r *rand.Rand) schedule) {
	t.Helper()
	failed := 0
	for seed := range uint64(plays / scheduleShare) {
		random := rand.New(rand.NewPCG(seed, 24))
		s, failures := playOne(t, draw(random), seed, random)
		if len(failures) > 0 {
			failed++
			t.Logf("seed %d: %s\n\t%v", seed, s, failures[:min(len(failures), 2)])
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d schedules failed", failed, plays/scheduleShare)
	}
}
