package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/evacuation"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/storeread"
	"github.com/basillink/basillink/internal/topic"
)

// asOfClock is the clock of a node that has published at testStart.
type asOfClock struct {
	now time.Time
	// extra is the length of the suspensions that the clock of the request path includes, and unreported the part of it that the
	// node was not told.
	extra, unreported time.Duration
}

func (c *asOfClock) current() time.Time { return c.now }

// sinceStart returns the time on the clock of the request path.
func (c *asOfClock) sinceStart() time.Duration { return c.now.Sub(testStart) + c.extra }

// detect reports the suspensions that the node was not told.
func (c *asOfClock) detect() (time.Duration, time.Duration) {
	found := c.unreported
	c.unreported = 0
	return c.sinceStart(), found
}

// nodeKnowingConfig returns a node that read the configuration of version 3 at testStart, and its clock.
func nodeKnowingConfig(t *testing.T) (*Node, *asOfClock) {
	t.Helper()
	n := nodeInEra(t, "a1", 1)
	clk := &asOfClock{now: testStart}
	n.Now, n.DetectSuspension, n.started = clk.sinceStart, clk.detect, testStart
	n.recordTick(testStart)
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "start", 0)
	return n, clk
}

// checkAsOf checks when a node says that its configuration was current.
func checkAsOf(t *testing.T, n *Node, name string, want time.Duration) {
	t.Helper()
	if got, known := n.ConfigsAsOf(); !known || got != want {
		t.Errorf("%s: the configuration was current at %s (known: %v), want %s", name, got, known, want)
	}
}

// currentEvacuations returns the report of a peer that has read the operator's records as far as nodeKnowingConfig.
func currentEvacuations() *evacuation.Report { return &evacuation.Report{Era: 1, Offset: 5} }

// Guards against a configuration that seems newer than it is: by the duration of a read or of a fetch, by the wait of a datagram for
// the control loop, by what a peer says of another version, and by ages that no correct peer tells.
func TestConfigsAsOfPaths(t *testing.T) {
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	const now = 2 * time.Second
	peer := &peerState{Member: newMember("a2", "a")}
	told := func(n *Node, version uint64, age, waited time.Duration) {
		status := &configStatus{
			Version: version, AgeMS: age.Milliseconds(), Answer: storeread.AnswerID{Reader: 7, Number: 1}, Evacuations: currentEvacuations(),
		}
		n.nextFetch = at(time.Hour)
		n.applyUpdate(context.Background(), &datagram{Config: status}, peer, at(now-waited), at(now))
	}
	fetched := func(n *Node, state *State, took time.Duration) {
		n.handleStateFetched(stateFetched{state: state, requestedAt: at(now - took)}, at(now))
	}
	config := func(version uint64) *routes.Config {
		return &routes.Config{Version: version, Services: []routes.Service{{Name: "s"}}}
	}
	for name, c := range map[string]struct {
		apply func(*Node)
		want  time.Duration
	}{
		"own read": {func(n *Node) {
			n.handleConfigsRead(configsRead{startedAt: at(1200 * time.Millisecond), next: topic.Position{Era: 1, Offset: 5}}, at(now))
		}, 1200 * time.Millisecond},
		"own read that failed": {func(n *Node) {
			n.handleConfigsRead(configsRead{startedAt: at(time.Second), err: errStoreDown}, at(now))
		}, 0},
		"read of an earlier era": {func(n *Node) {
			n.handleConfigsRead(configsRead{startedAt: at(time.Second), next: topic.Position{Era: 0, Offset: 9}}, at(now))
		}, 0},
		"peer":                       {func(n *Node) { told(n, 3, 600*time.Millisecond, 0) }, 1400 * time.Millisecond},
		"datagram waited":            {func(n *Node) { told(n, 3, 600*time.Millisecond, time.Second) }, 400 * time.Millisecond},
		"peer with an older version": {func(n *Node) { told(n, 2, 0, 0) }, 0},
		"peer of an earlier release": {func(n *Node) {
			status := &configStatus{Version: 3, Answer: storeread.AnswerID{Reader: 7, Number: 1}}
			n.applyUpdate(context.Background(), &datagram{Config: status}, peer, at(now), at(now))
		}, 0},
		"peer with a newer version": {func(n *Node) { told(n, 4, 0, 0) }, 0},
		"peer with a negative age":  {func(n *Node) { told(n, 3, -time.Hour, 0) }, now},
		"peer repeats an answer": {func(n *Node) {
			told(n, 3, 1500*time.Millisecond, 0)
			told(n, 3, 0, 0)
		}, 500 * time.Millisecond},
		"fetched state": {func(n *Node) {
			fetched(n, &State{Config: config(4), ConfigListed: true, ConfigNext: 6, ConfigEra: 1, ConfigAge: 700 * time.Millisecond}, 200*time.Millisecond)
		}, 1100 * time.Millisecond},
		"fetched state with a negative age": {func(n *Node) {
			fetched(n, &State{Config: config(4), ConfigListed: true, ConfigNext: 6, ConfigEra: 1, ConfigAge: -time.Hour}, 200*time.Millisecond)
		}, 1800 * time.Millisecond},
		"fetched state without a newer version": {func(n *Node) { fetched(n, &State{ConfigListed: true, ConfigNext: 6, ConfigEra: 1}, 0) }, 0},
	} {
		n, clk := nodeKnowingConfig(t)
		clk.now = at(now)
		c.apply(n)
		n.publishConfigsAsOf(clk.current)
		checkAsOf(t, n, name, c.want)
	}
}

// Guards against a time that is published before the view that it is about: requests would be served with the keys of the earlier
// one. The view may fail to be published.
func TestConfigsAsOfFollowsView(t *testing.T) {
	n := newQuietNode(t, newMember("a1", "a"))
	config := &routes.Config{Version: 3, Services: []routes.Service{{Name: "s"}}}
	n.handleConfigsRead(configsRead{startedAt: testStart, records: discovery.OperatorRecords{Configs: []*routes.Config{config}}, next: topic.Position{Offset: 5}}, testStart)
	n.publishConfigsAsOf(func() time.Time { return testStart })
	if _, known := n.ConfigsAsOf(); known {
		t.Error("the time is known before there is a view")
	}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: []registry.Change{listedTarget("t1", topic.Position{})}, complete: true, next: topic.Position{Offset: 5}}, testStart)
	if _, known := n.ConfigsAsOf(); !known {
		t.Error("the time is not known although there is a view: requests wait for it")
	}
	n, clk := nodeKnowingConfig(t)
	clk.now = testStart.Add(time.Second)
	newer := *config
	newer.Version = 4
	table, err := routes.Build(&newer, nil, n.Random)
	if err != nil {
		t.Fatal(err)
	}
	n.table = table
	n.configsTopic.ReadSucceeded(clk.now, topic.Position{Era: 1, Offset: 6})
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "view not published", 0)
	n.publishView(clk.now)
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "view published", time.Second)
}

// Guards against a suspension of the host that makes the configuration seem new: one that the request path found before the control
// loop, and one that the loop finds when it publishes, which must count as a pause at the next tick all the same.
func TestConfigsAsOfIncludesSuspensions(t *testing.T) {
	const suspended = 4 * time.Second
	n, clk := nodeKnowingConfig(t)
	// The reception of this status is before the suspension, and its handling after it.
	clk.extra, clk.unreported = suspended, suspended
	clk.now = testStart.Add(200 * time.Millisecond)
	n.configsTopic.Refresh(testStart.Add(100*time.Millisecond), storeread.AnswerID{Reader: 7, Number: 1})
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "read before the suspension", 100*time.Millisecond)
	n.detectPause(clk.now)
	if !n.resumedAt.Equal(clk.now) {
		t.Error("a suspension that was found between two ticks is no pause")
	}
	clk.now = testStart.Add(300 * time.Millisecond)
	n.configsTopic.Refresh(clk.now, storeread.AnswerID{Reader: 7, Number: 2})
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "read after the suspension", suspended+300*time.Millisecond)
}

// Guards against a status that waited for a busy control loop and counts as just received.
func TestStatusThatWaitedForTheLoop(t *testing.T) {
	n, clk := nodeKnowingConfig(t)
	n.members.add(newMember("a2", "a"), testStart)
	clk.now = testStart.Add(2 * time.Second)
	status := &configStatus{Version: 3, AgeMS: 100, Answer: storeread.AnswerID{Reader: 7, Number: 1}, Evacuations: currentEvacuations()}
	received := testStart.Add(500 * time.Millisecond)
	n.handleDatagram(t.Context(), datagramReceived{datagram: &datagram{From: "a2", Started: 1, Config: status}, receivedAt: received}, clk.now)
	n.publishConfigsAsOf(clk.current)
	checkAsOf(t, n, "status that waited", 400*time.Millisecond)
}
