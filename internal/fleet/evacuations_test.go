package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// evacuates returns the result of a read with a record that evacuates a zone or ends the evacuation.
func evacuates(zone string, active bool, offset int64) configsRead {
	record := discovery.Evacuation{Zone: zone, Active: active, Position: topic.Position{Era: 1, Offset: offset}}
	return configsRead{
		startedAt: testStart, next: topic.Position{Era: 1, Offset: offset + 1},
		records: discovery.OperatorRecords{Evacuations: []discovery.Evacuation{record}},
	}
}

// Guards against requests that still reach an evacuated zone over what an instance holds of its targets: pools, decisions, pooled
// connections. Also against an evacuation that is taken for a crash of the targets, or that ends their load probes.
func TestEvacuatedTargetsAreDropped(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	other := listedTarget("t2", topic.Position{Era: 1, Offset: 5})
	other.Entry.Zone = "b"
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{other}, next: topic.Position{Era: 1, Offset: 6}}, testStart)
	closed := map[string]bool{}
	n.TargetsChanged = func(registered func(string) bool) {
		closed = map[string]bool{"t1": !registered("t1"), "t2": !registered("t2")}
	}
	n.TargetTerminated = func(id string, _ time.Duration, _ bool) { t.Errorf("the termination of %s is reported", id) }
	pool := n.View().Pools["s"]
	decided := pool.Target("t1")

	n.handleConfigsRead(evacuates("a", true, 5), testStart)
	if pool.Target("t1") != nil || pool.Accepts(decided) || pool.Target("t2") == nil {
		t.Error("the pool has a target of the evacuated zone, or lost another one")
	}
	if !closed["t1"] || closed["t2"] {
		t.Errorf("closed connections: %v, want those of t1", closed)
	}
	if len(n.zoneTargets) != 1 || !n.mayProbe("t1", "s") {
		t.Error("the target is not probed any more")
	}
	if n.traffic.EvacuatedZones() != 1 || n.traffic.Evacuations()["a"] != 1 {
		t.Errorf("%d zones and %v evacuations are counted", n.traffic.EvacuatedZones(), n.traffic.Evacuations())
	}
	n.applyBackpressure([]probeResult{{id: "t1", service: "s", report: dispatch.LoadReport{Backoff: time.Minute}}})
	if n.mayProbe("t1", "s") {
		t.Error("an evacuated target that asked for a backoff is probed")
	}
	n.handleConfigsRead(evacuates("a", false, 6), testStart)
	if pool.Target("t1") == nil || closed["t1"] || n.traffic.EvacuatedZones() != 0 {
		t.Error("the target is not used after the end of the evacuation")
	}
	if pool.Accepts(pool.Target("t1")) {
		t.Error("the backoff that the target asked for is forgotten")
	}
	n.handleConfigsRead(evacuates("nowhere", true, 7), testStart)
	if pool.Target("t1") == nil || pool.Target("t2") == nil {
		t.Error("an unknown zone empties the pool")
	}
}

// Guards against requests that wait for a target when its zone is evacuated and are sent there, or wait until their deadline.
func TestWaitingRequestsLeaveEvacuatedZone(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	pool := n.View().Pools["s"]
	pool.UpdateLoad([]dispatch.TargetLoad{{Target: pool.Target("t1"), LoadReport: dispatch.LoadReport{Running: 4, Slots: 4, Slowdown: 1, ReceivedAt: n.Now()}}})
	decided := make(chan dispatch.Decision, 1)
	go func() {
		decided <- pool.Acquire(t.Context(), &dispatch.Request{Route: "r", Objective: 10 * time.Second, Arrived: n.Now(), Deadline: n.Now() + 20*time.Second})
	}()
	for pool.Usage().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	n.handleConfigsRead(evacuates("a", true, 5), testStart)
	select {
	case d := <-decided:
		if d.Target != nil {
			t.Errorf("the request is sent to %s", d.Target.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request still waits")
	}
}

// Guards against an instance that starts with a view of the targets before it applies the evacuations that it read or fetched with the
// configuration.
func TestFirstViewLeavesOutEvacuatedZone(t *testing.T) {
	peer := nodeInEra(t, "a1", 1)
	peer.handleConfigsRead(evacuates("a", true, 5), testStart)
	state := peer.stateFor(StateRequest{}, testStart)
	fetched := newQuietNode(t, newMember("a2", "a"))
	fetched.handleStateFetched(stateFetched{state: &state, requestedAt: testStart}, testStart)

	read := newQuietNode(t, newMember("a3", "a"))
	next := topic.Position{Era: 1, Offset: 5}
	listing := []registry.Change{listedTarget("t1", topic.Position{Era: 1, Offset: 4})}
	read.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: next}, testStart)
	answer := evacuates("a", true, 5)
	answer.records.Configs, answer.records.Complete = []*routes.Config{{Version: 3, Services: []routes.Service{{Name: "s"}}}}, true
	read.TargetsChanged = func(registered func(string) bool) {
		if registered("t1") {
			t.Error("a view with the evacuated target was published")
		}
	}
	read.handleConfigsRead(answer, testStart)
	for _, n := range []*Node{fetched, read} {
		if n.View() == nil || n.View().Pools["s"].Target("t1") != nil {
			t.Errorf("%s uses the target of the evacuated zone", n.Self.ID)
		}
	}
}

// Guards against evacuations that spread only with a new version of the configuration, and against reports of peers that read less,
// which would keep this instance from reading.
func TestPeersTellEvacuations(t *testing.T) {
	n, peer := nodeInEra(t, "a1", 1), nodeInEra(t, "a2", 1)
	n.members.add(peer.Self, testStart)
	before := peer.configStatus(testStart)
	peer.handleConfigsRead(evacuates("a", true, 5), testStart)
	tell := func(status *configStatus, at time.Time) {
		d := &datagram{From: "a2", Started: peer.Self.Started, Config: status}
		encoded, err := encode(d)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		n.applyUpdate(t.Context(), decoded, n.members.peers["a2"], at, at)
	}
	tell(peer.configStatus(testStart), testStart)
	if n.View().Pools["s"].Target("t1") != nil {
		t.Fatal("the evacuation that a peer read is not applied")
	}
	later := testStart.Add(time.Minute)
	tell(before, later)
	if n.View().Pools["s"].Target("t1") != nil || n.configsTopic.AsOf.After(testStart) {
		t.Error("a peer that read less ends the evacuation, or counts as a newer read")
	}
	tell(&configStatus{Version: 3}, later)
	if n.View().Pools["s"].Target("t1") != nil || n.configsTopic.AsOf.After(testStart) {
		t.Error("a peer that knows no evacuations ends one, or counts as a newer read")
	}
}

// Guards against an instance that takes the position of a peer without evacuations over and then never reads the earlier records.
func TestListsEvacuationsThatPeerLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &virtualStore{}
		store.putEvacuation("a", true)
		n := newQuietNode(t, newMember("a1", "a"))
		n.Store = virtualStoreClient{store, "a1"}
		state := &State{Config: &routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, ConfigListed: true, ConfigNext: 2}
		n.handleStateFetched(stateFetched{state: state, requestedAt: time.Now()}, time.Now())
		time.Sleep(storeread.ConfigsInterval)
		n.readConfigs(t.Context(), time.Now(), 0)
		n.handle(t.Context(), <-n.inbox, time.Now())
		if !n.evacuations.Contains("a") {
			t.Error("the evacuation is not known")
		}
	})
}

// evacuationBound is how long after the store acknowledged a record, or a disturbance ended, the zones have to be right on all
// instances. The platform allows 5 s.
const evacuationBound = 3 * time.Second

// evacuationRun plays evacuations on a fleet in virtual time.
type evacuationRun struct {
	*simulation
	random *rand.Rand
	// active is what the operator wrote last, by zone, at writtenAt.
	active    map[string]bool
	writtenAt time.Duration
	// disturbedUntil is the end of the latest disturbance of the store, the network or an instance.
	disturbedUntil time.Duration
	// learned holds the evacuations that each instance has applied since its start, by instance and zone.
	learned map[int]map[string]bool
	log     []string
}

// evacuationDisturbances are what happens beside the evacuations.
var evacuationDisturbances = []string{"none", "outage", "part refused", "cut off", "paused", "restart", "restart all", "restore"}

func (r *evacuationRun) note(format string, a ...any) {
	r.log = append(r.log, fmt.Sprintf("%v: %s", r.now(), fmt.Sprintf(format, a...)))
}

// write makes the operator evacuate a zone, or end the evacuation.
func (r *evacuationRun) write(zone string, active bool) {
	r.active[zone], r.writtenAt = active, r.now()
	r.store.putEvacuation(zone, active)
	r.note("evacuate %s: %v", zone, active)
}

// disturb begins a disturbance and returns how to end it.
func (r *evacuationRun) disturb(what string) (end func()) {
	i := r.random.IntN(len(r.nodes))
	r.note("%s (n%02d)", what, i)
	setStore := func(all storeBehavior, some map[string]storeBehavior) {
		r.store.update(func() { r.store.behavior, r.store.behaviorByInstance = all, some })
	}
	switch what {
	case "outage":
		setStore(storeSilent, nil)
		return func() { setStore(storeServes, nil) }
	case "part refused":
		refused := map[string]storeBehavior{}
		for _, j := range r.random.Perm(len(r.nodes))[:len(r.nodes)/2] {
			refused[r.nodes[j].Self.ID] = storeRefuses
		}
		setStore(storeServes, refused)
		return func() { setStore(storeServes, nil) }
	case "cut off":
		r.net.setPartitioned(address(i), true)
		setStore(storeServes, map[string]storeBehavior{r.nodes[i].Self.ID: storeSilent})
		return func() { r.net.setPartitioned(address(i), false); setStore(storeServes, nil) }
	case "paused":
		r.pause(i)
		return func() { r.resume(i, resumeOrder(r.random.IntN(int(numResumeOrders)))) }
	case "restart":
		r.stops[i]()
		delete(r.learned, i)
		return func() { r.startNode(i) }
	case "restart all":
		for j := range r.nodes {
			r.stops[j]()
			delete(r.learned, j)
		}
		return func() {
			for j := range r.nodes {
				r.startNode(j)
			}
		}
	case "restore":
		r.restore()
	}
	return func() {}
}

// restore restores the store from a copy of before the latest record. The operator writes it again.
func (r *evacuationRun) restore() {
	r.store.restore(r.now() - r.writtenAt + time.Millisecond)
	again := time.Duration(r.random.Int64N(int64(time.Second)))
	r.disturbedUntil = r.now() + again
	time.AfterFunc(again, func() {
		for _, zone := range []string{"z0", "z1"} {
			if active, written := r.active[zone]; written {
				r.store.putEvacuation(zone, active)
			}
		}
	})
}

// check compares what all instances use with what the operator wrote. An instance never goes back to a zone while the operator
// has it evacuated.
func (r *evacuationRun) check() {
	due := r.now() > max(r.writtenAt, r.disturbedUntil)+evacuationBound
	for i, n := range r.nodes {
		view := n.View()
		if view == nil {
			continue
		}
		for target, zone := range []string{"z0", "z1", "z2"} {
			used := view.Pools["s"].Target(targetEntry(target, false).ID) != nil
			if r.learned[i] == nil {
				r.learned[i] = map[string]bool{}
			}
			switch {
			case used && r.active[zone] && r.learned[i][zone]:
				r.addFailure("n%02d uses the targets of %s again during the evacuation", i, zone)
			case due && used == r.active[zone]:
				r.addFailure("n%02d: zone %s used %v, evacuated %v", i, zone, used, r.active[zone])
			}
			r.learned[i][zone] = r.active[zone] && (r.learned[i][zone] || !used)
		}
	}
}

// runFor lets time pass and checks all the while.
func (r *evacuationRun) runFor(d time.Duration) {
	for end := r.now() + d; r.now() < end; r.check() {
		time.Sleep(checkInterval)
	}
}

// play runs a disturbance that begins before, beside or after the beginning and the end of an evacuation.
func (r *evacuationRun) play(what string) {
	const instancesPerZone = 4
	count := instancesPerZone * scheduleZones
	r.nodes, r.stops, r.startedAt = make([]*Node, count), make([]func(), count), time.Now()
	for i := range scheduleTargets {
		r.store.append(targetEntry(i, false).ID, targetEntry(i, false))
	}
	for i := range count {
		r.startNode(i)
	}
	r.disturbedUntil = settlingTime
	r.runFor(settlingTime)
	r.write("z1", true)
	for _, active := range []bool{true, false} {
		r.runFor(time.Duration(r.random.Int64N(int64(2 * time.Second))))
		end := r.disturb(what)
		length := time.Second + time.Duration(r.random.Int64N(int64(6*time.Second)))
		r.disturbedUntil = max(r.disturbedUntil, r.now()+length)
		r.runFor(length / 2)
		r.write("z0", active)
		r.runFor(length - length/2)
		end()
		r.disturbedUntil = max(r.disturbedUntil, r.now())
		r.runFor(evacuationBound + 3*time.Second)
	}
	for _, stop := range r.stops {
		stop()
	}
	time.Sleep(time.Minute)
}

// Guards against instances that send to an evacuated zone, or leave a zone out after its evacuation, because they, the network or
// the store were disturbed: one cut off, one paused, one that starts, an outage, a restore from a copy without the record.
func TestEvacuationSchedules(t *testing.T) {
	const seedsPerDisturbance = 4
	for _, what := range evacuationDisturbances {
		for seed := range uint64(seedsPerDisturbance) {
			r := &evacuationRun{
				simulation: newSimulation(schedule{instancesPerZone: 4}, seed), random: rand.New(rand.NewPCG(seed, 48)),
				active: map[string]bool{}, learned: map[int]map[string]bool{},
			}
			r.store.era = 1
			synctest.Test(t, func(*testing.T) { r.play(what) })
			if len(r.failures) > 0 {
				t.Errorf("%s, seed %d: %v\n%v", what, seed, slices.Clip(r.failures), r.log)
			}
		}
	}
}

// Guards against instances of an evacuated zone that choose among the targets of other zones by load reports of almost half a second ago.
// On a day of the bench a tenth of their answers came late.
func TestLoadReportsOfOtherZonesDuringEvacuation(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	for i := range 2 * largeZoneSize {
		member := newMember(fmt.Sprintf("a%d", i+2), "a")
		member.Address = fmt.Sprintf("127.0.1.%d:7000", i)
		n.members.add(member, testStart)
	}
	usual := n.crossZoneInterval()
	n.handleConfigsRead(evacuates("b", true, 5), testStart)
	during := n.crossZoneInterval()
	n.handleConfigsRead(evacuates("b", false, 6), testStart)
	if usual != largeCrossZoneInterval || during != busyCrossZoneInterval || n.crossZoneInterval() != usual {
		t.Errorf("%s before, %s during, %s after the evacuation", usual, during, n.crossZoneInterval())
	}
}

// Guards against a request that is suspected because its answer was lost before an evacuation, and the target ended during it, long
// after: the load reports in between show that the target was running.
func TestTerminationDuringEvacuationTellsLastReport(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	clock := 2 * time.Second
	n.Now = func() time.Duration { return clock }
	listInEra(n, 1)
	report := loadReport{Target: hashID("t1"), SlowdownPercent: 100}
	seen := map[string]time.Duration{}
	n.TargetTerminated = func(id string, lastSeen time.Duration, _ bool) { seen[id] = lastSeen }
	n.observeLoads([]loadReport{report})
	n.handleConfigsRead(evacuates("a", true, 5), testStart)
	if got := n.lastSeen(n.targetsInUse["t1"]); got != clock {
		t.Errorf("last seen at %s after the evacuation began, want %s", got, clock)
	}
	clock = 9 * time.Second
	n.observeLoads([]loadReport{report})
	n.publishView(testStart)
	unreachable := report
	unreachable.SlowdownPercent = 0
	clock = 10 * time.Second
	n.observeLoads([]loadReport{unreachable, {Target: hashID("unknown"), SlowdownPercent: 100}})
	gone := registry.Change{ID: "t1", Era: 1, Offset: 6}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{gone}, next: topic.Position{Era: 1, Offset: 7}}, testStart)
	if seen["t1"] != 9*time.Second {
		t.Errorf("last seen at %s, want at the time of the last load report", seen["t1"])
	}
	if len(n.evacuatedSeen) != 0 {
		t.Errorf("%d targets are remembered", len(n.evacuatedSeen))
	}
}
