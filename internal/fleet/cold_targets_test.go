package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/routes"
)

// coldProber opens probes of targets that tell until when they are cold. It is safe for concurrent use.
type coldProber struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (p *coldProber) Open(_, _, id string) Probe { return &coldProbe{p, id} }

func (p *coldProber) turnCold(id string, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until[id] = time.Now().Add(length)
}

type coldProbe struct {
	prober *coldProber
	id     string
}

func (p *coldProbe) Read(context.Context) (dispatch.LoadReport, error) {
	p.prober.mu.Lock()
	defer p.prober.mu.Unlock()
	return dispatch.LoadReport{Slots: 4, Slowdown: 1, ColdFor: max(time.Until(p.prober.until[p.id]), 0)}, nil
}

func (*coldProbe) Close() {}

func limitedConfig() *routes.Config {
	return &routes.Config{Version: 4, Services: []routes.Service{{Name: "s", WarmupRate: 5}}}
}

// Guards against a target that its health answers call cold and that the pools take for warm: at once, after its evacuation, on an
// instance that fetches the state of a peer, or beyond its time.
func TestHealthAnswersMakeTargetsCold(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	clock := time.Second
	n.Now = func() time.Duration { return clock }
	listInEra(n, 1)
	n.applyConfig(limitedConfig(), "store", testStart)
	n.shard = shard{0, 1}
	answer := probeResult{id: "t1", service: "s", report: dispatch.LoadReport{Slots: 4, Slowdown: 1, ReceivedAt: clock, ColdFor: 5 * time.Second}}
	n.handleConfigsRead(evacuates("a", true, 5), testStart)
	n.handleRoundFinished(roundFinished{[]probeResult{answer}}, testStart)
	if n.ColdTargets() != 0 {
		t.Error("a target of an evacuated zone is in the view")
	}
	n.handleConfigsRead(evacuates("a", false, 6), testStart)
	if n.ColdTargets() != 1 {
		t.Error("the target is warm after the evacuation")
	}
	started := newQuietNode(t, newMember("a2", "a"))
	state := n.stateFor(StateRequest{}, testStart)
	started.handleStateFetched(stateFetched{state: &state, requestedAt: testStart}, testStart)
	if started.ColdTargets() != 1 {
		t.Error("the target is warm for an instance that starts")
	}
	clock += 5 * time.Second
	n.forgetWarm()
	if n.ColdTargets() != 0 || len(n.coldUntil) != 0 {
		t.Error("coldness does not end")
	}
	failed := answer
	failed.failures = 1
	n.applyProbedCold([]probeResult{failed}, testStart)
	n.applyConfig(&routes.Config{Version: 5, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	answer.report.ReceivedAt = clock
	n.applyProbedCold([]probeResult{answer}, testStart)
	if len(n.coldUntil) != 0 {
		t.Error("a probe that failed makes a target cold, or others are told of one whose service sets no limit")
	}
}

// Guards against coldness that lasts longer with each time that instances repeat it to each other, and against reports that make a
// target cold for days.
func TestColdReportsDoNotAddUp(t *testing.T) {
	n, peer := nodeInEra(t, "a1", 1), nodeInEra(t, "a2", 1)
	clock := time.Second
	n.Now = func() time.Duration { return clock }
	peer.Now = n.Now
	n.learnCold([]coldReport{{Target: 7, MS: 1000}})
	const delay = 2 * time.Millisecond
	for range 200 {
		reports := n.coldReports()
		clock += delay
		peer.learnCold(reports)
		reports = peer.coldReports()
		clock += delay
		n.learnCold(reports)
	}
	if until := max(n.coldUntil[7], peer.coldUntil[7]); until > 2*time.Second+coldTolerance+delay {
		t.Errorf("cold until %s, want 2s", until)
	}
	if n.learnCold([]coldReport{{Target: 8, MS: 1 << 31}}); n.coldUntil[8] > clock+maxColdTime {
		t.Errorf("cold until %s", n.coldUntil[8])
	}
}

// Guards against instances of any zone that learn late that a target turned cold, and against ones that start and do not learn it.
func TestColdTargetIsKnownInAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(schedule{instancesPerZone: 4}, 1)
		sim.store.era = 1
		sim.store.update(func() { sim.store.appendOperator(operatorRecord{config: limitedConfig()}) })
		prober := &coldProber{until: map[string]time.Time{}}
		sim.onConfigure = func(_ int, c *Config) { c.Prober = prober }
		count := sim.instancesPerZone * scheduleZones
		sim.nodes, sim.stops, sim.startedAt = make([]*Node, count), make([]func(), count), time.Now()
		for i := range scheduleTargets {
			sim.store.append(targetEntry(i, false).ID, targetEntry(i, false))
		}
		for i := range count {
			sim.startNode(i)
		}
		check := func(what string, want int64) {
			for _, n := range sim.nodes {
				if cold := n.ColdTargets(); cold != want {
					t.Errorf("%s: %s knows %d cold targets, want %d", what, n.Self.ID, cold, want)
				}
			}
		}
		time.Sleep(10 * time.Second)
		check("warm", 0)
		prober.turnCold("t0", 10*time.Second)
		// One round of probes, and two hops between instances.
		time.Sleep(maxProbeInterval + 25*time.Millisecond)
		check("just turned cold", 1)
		time.Sleep(2 * time.Second)
		sim.stops[5]()
		sim.startNode(5)
		time.Sleep(time.Second)
		check("an instance started", 1)
		time.Sleep(7*time.Second + 100*time.Millisecond)
		check("warm again", 0)
		for _, stop := range sim.stops {
			stop()
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a datagram of an earlier version that a cold report breaks, and against one with many cold targets that exceeds the
// size of a datagram.
func TestColdReportsFitIntoDatagrams(t *testing.T) {
	n := nodeInEra(t, "a1", 1)
	for i := range uint32(4 * maxColdReports) {
		n.learnCold([]coldReport{{Target: hashID(fmt.Sprint(i)), MS: 5000}})
	}
	d := n.newDatagram(testStart)
	d.Cold = n.coldReports()
	encoded, err := encode(d)
	if err != nil || len(encoded) > 2048 {
		t.Errorf("%d bytes for %d cold targets, error %v", len(encoded), len(d.Cold), err)
	}
	decoded, err := decode(encoded)
	if err != nil || len(decoded.Cold) != len(d.Cold) || decoded.Cold[0] != d.Cold[0] {
		t.Errorf("decoded %d of %d reports, error %v", len(decoded.Cold), len(d.Cold), err)
	}
}

// Guards against a zone that stays unaware of a cold target because one datagram was lost, and against an instance that tells it with
// each round of probes for as long as the target is cold.
func TestColdTargetIsToldAgain(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	clock := time.Second
	n.Now = func() time.Duration { return clock }
	listInEra(n, 1)
	n.applyConfig(limitedConfig(), "store", testStart)
	told := 0
	const rounds = 20
	for range rounds {
		answer := probeResult{id: "t1", service: "s", report: dispatch.LoadReport{Slowdown: 1, ReceivedAt: clock, ColdFor: 10*time.Second - clock}}
		n.applyProbedCold([]probeResult{answer}, testStart)
		told += len(n.recentlyTurnedCold(clock))
		clock += maxProbeInterval
	}
	if told < 2 || told > int(coldRepeatPeriod/maxProbeInterval) {
		t.Errorf("told %d times in %d rounds", told, rounds)
	}
}
