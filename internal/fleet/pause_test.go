package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/panicguard"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// Guards against datagrams that waited in the socket during a pause and count as just sent: the ages in them are too low by
// the time that they waited, so that an outage of the store in that time looks like answers.
func TestDatagramsOfAPauseAreDropped(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.members.add(newMember("a2", "a"), testStart)
	n.lastTick = testStart
	waiting := datagramReceived{datagram: &datagram{From: "a2", Started: n.members.peers["a2"].Started, ZoneLive: 2}, from: "127.0.0.1:9"}
	own := func(marker uint64) datagramReceived {
		return datagramReceived{datagram: &datagram{From: "a1", Started: n.Self.Started, Marker: marker}, from: "127.0.0.1:9"}
	}
	heard := func(at time.Time) bool {
		n.handle(context.Background(), waiting, at)
		return n.members.peers["a2"].lastHeard.Equal(at)
	}
	resumed := testStart.Add(flushThreshold)
	n.detectPauseBeforeEvent(waiting, resumed)
	if heard(resumed) {
		t.Error("a datagram that waited during a pause is applied")
	}
	n.handle(context.Background(), own(n.flush.marker-1), resumed)
	if heard(resumed) {
		t.Error("an earlier marker ends the flush")
	}
	n.handle(context.Background(), own(n.flush.marker), resumed)
	if !heard(resumed) {
		t.Error("a datagram after the marker is dropped")
	}
	// The markers of the next pause are lost.
	again := resumed.Add(time.Minute)
	n.detectPauseBeforeEvent(waiting, again)
	for passed := time.Duration(0); passed <= flushTimeout; passed += idleTickInterval {
		n.detectPause(again.Add(passed))
	}
	if !heard(again.Add(flushTimeout)) {
		t.Error("a lost marker keeps the flush from ending")
	}
	if n.traffic.StaleDatagrams() != 2 {
		t.Errorf("%d datagrams counted as dropped, want 2", n.traffic.StaleDatagrams())
	}
}

// Guards against claims that waited in the socket during a pause and are counted although their requests ended long ago.
func TestClaimsOfAPauseAreDropped(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	pool := dispatch.NewPool(n.Policy, "a", n.Now, n.Random)
	pool.SetTargets([]registry.Target{{Entry: registry.Entry{ID: "t1", Zone: "a", Slots: 100}}}, 2, testStart)
	n.claimTable.Store(&claimTable{targets: map[uint32]claimTarget{hashID("t1"): {id: "t1", zone: "a", pool: pool}}})
	claimed := func() int {
		_, before := pool.HandleClaim("t1", time.Second)
		b, err := encode(&datagram{Claim: &claim{Target: hashID("t1"), Number: 1}})
		if err != nil {
			t.Fatal(err)
		}
		n.receiveDatagram(b, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9")))
		_, after := pool.HandleClaim("t1", time.Second)
		return after - before - 1
	}
	if got := claimed(); got != 1 {
		t.Errorf("%d requests counted for a claim, want 1", got)
	}
	n.flush.active.Store(true)
	if got := claimed(); got != 0 {
		t.Errorf("%d requests counted for a claim that waited during a pause, want none", got)
	}
	n.flush.active.Store(false)
	n.started = time.Now().Add(-time.Minute)
	n.recordTick(time.Now().Add(-flushThreshold))
	if got := claimed(); got != 0 {
		t.Errorf("%d requests counted for a claim that is received before the first tick after a pause, want none", got)
	}
}

// Guards against an answer of the store that two slow leaders tell each other again and again, so that it seems newer each
// time: nobody reads then, departures are read late, and an outage is not noticed.
func TestRepeatedAnswerDoesNotGetNewer(t *testing.T) {
	const lag, rounds = 150 * time.Millisecond, 20
	a, b := newQuietNode(t, newMember("a1", "a")), newQuietNode(t, newMember("b1", "b"))
	for _, n := range []*Node{a, b} {
		n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 5}}, testStart)
	}
	a.handleTargetsRead(targetsRead{startedAt: testStart.Add(time.Second), next: topic.Position{Offset: 6}}, testStart.Add(time.Second))
	now := testStart.Add(time.Second)
	for range rounds {
		for _, pair := range [][2]*Node{{a, b}, {b, a}} {
			update := pair[0].targetsUpdate(now)
			now = now.Add(lag)
			pair[1].mergeTargetsUpdate(update, now)
		}
	}
	for _, n := range []*Node{a, b} {
		if age := now.Sub(n.targetsTopic.AsOf); age < 2*rounds*lag-lag {
			t.Errorf("%s takes an answer for %v old that is %v old", n.Self.ID, age, 2*rounds*lag)
		}
		if !n.registry.StoreSilent(now) {
			t.Errorf("%s does not notice that the store has not answered for %v", n.Self.ID, 2*rounds*lag)
		}
	}
}

// Guards against an instance that finds all others silent after a pause, because none of their datagrams has been handled
// yet: it took itself for the only one, with the retry budget of the whole fleet, and read the members from the store.
func TestInstanceCountSurvivesPause(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.Store = &storeClient{store: &fakeStore{}}
	n.started, n.lastTick = testStart, testStart
	for _, m := range []discovery.Member{newMember("a2", "a"), newMember("b1", "b"), newMember("b2", "b")} {
		n.members.add(m, testStart)
	}
	paused := testStart.Add(time.Minute)
	hear := func(at time.Time) {
		for _, p := range n.members.peers {
			p.lastHeard, p.zoneLive = at, 2
		}
	}
	hear(paused)
	n.recordTick(paused)
	n.updateInstanceCount(paused)
	if n.instances != 4 || !n.instancesConverged {
		t.Fatalf("%d instances before the pause, converged %v", n.instances, n.instancesConverged)
	}
	resumed := paused.Add(4 * time.Second)
	n.detectPause(resumed)
	n.join(context.Background(), resumed)
	n.updateInstanceCount(resumed)
	if n.instances != 4 || n.instancesConverged || n.joinInFlight {
		t.Errorf("after the pause: %d instances, converged %v, reads the members %v; want 4, not converged, no read", n.instances, n.instancesConverged, n.joinInFlight)
	}
	settled := resumed.Add(convergenceTime)
	hear(settled)
	delete(n.members.remotePeers, "b")
	n.updateInstanceCount(settled)
	if n.instances != 2 || !n.instancesConverged {
		t.Errorf("%s after the pause: %d instances, converged %v; want 2, converged", convergenceTime, n.instances, n.instancesConverged)
	}
}

// Guards against targets that count as unreachable, for the whole zone, because this process was paused during their probes,
// and against load reports that waited in a socket during a pause and count as fresh.
func TestProbesOfAPauseAreIgnored(t *testing.T) {
	const pause = 4 * time.Second
	var clock atomic.Int64
	read := func(err error) func() (dispatch.LoadReport, error) {
		return func() (dispatch.LoadReport, error) {
			clock.Add(int64(pause))
			return dispatch.LoadReport{Slots: 4, Slowdown: 1}, err
		}
	}
	for name, err := range map[string]error{"timed out": context.DeadlineExceeded, "answered": nil} {
		s := newSampler(scriptedProber{"t": read(err)}, func() time.Duration { return time.Duration(clock.Load()) }, &panicguard.Guard{}, slog.New(slog.DiscardHandler))
		s.sync([]registry.Target{{Entry: registry.Entry{ID: "t", Address: "t"}}}, func(string) string { return "/" })
		results := make(chan []probeResult, 8)
		for range 2 * unreachableFailures {
			s.startRound(func(string, string) bool { return true }, func(r []probeResult) { results <- r })
			time.Sleep(3 * roundWait)
		}
		s.stop()
		if len(results) > 0 {
			t.Errorf("%s: a probe during which the process was paused has the result %+v", name, <-results)
		}
	}
}

// Guards against reads that fail because this process was paused during them, and are told to the others as failures of
// the store, which delays their reads.
func TestReadOfAPauseIsNoFailure(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.started, n.lastTick = testStart, testStart
	n.handleTargetsRead(targetsRead{startedAt: testStart, complete: true, next: topic.Position{Offset: 2}}, testStart)
	n.handleConfigsRead(configsRead{startedAt: testStart, next: topic.Position{Offset: 2}}, testStart)
	before := testStart.Add(time.Second)
	n.targetsTopic.ReadStarted(before)
	n.configsTopic.ReadStarted(before)
	resumed := before.Add(4 * time.Second)
	n.recordTick(before)
	n.detectPause(resumed)
	n.handleTargetsRead(targetsRead{startedAt: before, err: errStoreDown}, resumed)
	n.handleConfigsRead(configsRead{startedAt: before, err: errStoreDown}, resumed)
	for name, topic := range map[string]*storeread.Topic{"targets": &n.targetsTopic, "configs": &n.configsTopic} {
		if topic.IsFailing(resumed) || topic.Reading() || !topic.Due(resumed, storeread.Priority{}) {
			t.Errorf("%s: failing %v, reading %v, due %v; want a new read at once", name, topic.IsFailing(resumed), topic.Reading(), topic.Due(resumed, storeread.Priority{}))
		}
	}
	n.targetsTopic.ReadStarted(resumed)
	n.handleTargetsRead(targetsRead{startedAt: resumed, err: errStoreDown}, resumed.Add(time.Millisecond))
	if !n.targetsTopic.IsFailing(resumed.Add(time.Millisecond)) {
		t.Error("a read that failed after the pause is no failure")
	}
}

// Guards against the result of a read that began before a suspension of the host and counts as an answer of the time after it:
// the monotonic clock stops in a suspension. Entries that expired meanwhile would count as departures.
func TestReadOfASuspensionIsOld(t *testing.T) {
	const suspended = 5 * time.Second
	n := newQuietNode(t, newMember("a1", "a"))
	n.started = testStart
	n.recordTick(testStart)
	entry := &registry.Entry{ID: "t", Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{{ID: "t", Offset: 1, Entry: entry}}, complete: true, next: topic.Position{Offset: 2}}, testStart)
	total := time.Duration(0)
	n.DetectSuspension = func() (time.Duration, time.Duration) {
		found := total
		total = 0
		return time.Second, found
	}
	started := testStart.Add(100 * time.Millisecond)
	total = suspended
	resumed := started.Add(5 * time.Millisecond)
	removal := targetsRead{startedAt: started, changes: []registry.Change{{ID: "t", Offset: 2}}, next: topic.Position{Offset: 3}}
	n.detectPauseBeforeEvent(removal, resumed)
	n.handleTargetsRead(removal, resumed)
	if age := resumed.Sub(n.targetsTopic.AsOf); age < suspended {
		t.Errorf("a read from before a suspension of %s counts as %s old", suspended, age)
	}
	if len(n.registry.Usable()) != 1 {
		t.Error("an entry that may have expired in the suspension counts as a departure")
	}
}

// Guards against the result of a read during which the host was suspended twice, and that seems as old as the second suspension only.
func TestReadOfTwoSuspensionsIsOld(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.recordTick(testStart)
	found := time.Duration(0)
	n.DetectSuspension = func() (time.Duration, time.Duration) {
		defer func() { found = 0 }()
		return time.Second, found
	}
	first, second := testStart.Add(100*time.Millisecond), testStart.Add(300*time.Millisecond)
	found = 4 * time.Second
	n.detectPause(first)
	found = time.Second
	n.detectPause(second)
	for started, want := range map[time.Time]time.Duration{
		testStart: 5 * time.Second, first.Add(time.Millisecond): time.Second, second.Add(time.Millisecond): 0,
	} {
		if got := started.Sub(n.startOfCall(started)); got != want {
			t.Errorf("a call that began %s after the start is dated back by %s, want %s", started.Sub(testStart), got, want)
		}
	}
}

// Guards against a slow process that drops all datagrams, because each late tick makes it wait for another marker.
func TestSlowProcessStillReceives(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	n.members.add(newMember("a2", "a"), testStart)
	n.recordTick(testStart)
	now := testStart.Add(flushThreshold)
	n.detectPause(now)
	first := n.flush.marker
	now = now.Add(flushThreshold)
	n.detectPause(now)
	n.handle(context.Background(), datagramReceived{datagram: &datagram{From: "a1", Started: n.Self.Started, Marker: first}, from: "127.0.0.1:9"}, now)
	if n.flush.active.Load() {
		t.Error("the marker of the first late tick does not end the flush after a second one")
	}
	now = now.Add(time.Minute)
	n.detectPause(now)
	again := n.flush.marker
	now = now.Add(pauseThreshold)
	n.detectPause(now)
	n.handle(context.Background(), datagramReceived{datagram: &datagram{From: "a1", Started: n.Self.Started, Marker: again}, from: "127.0.0.1:9"}, now)
	if !n.flush.active.Load() {
		t.Error("the marker of a pause ends the flush after another pause")
	}
}
