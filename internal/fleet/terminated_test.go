package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
	"github.com/basillink/basillink/internal/topic"
)

// Guards against terminated targets that are not reported until the store removes their entries, and against departures
// that are reported as terminations: a target that drained has answered all its requests.
func TestReportsTerminatedTargets(t *testing.T) {
	type termination struct {
		id        string
		lastSeen  time.Duration
		restarted bool
	}
	var reported []termination
	n := newQuietNode(t, newMember("a1", "a"))
	n.TargetTerminated = func(id string, lastSeen time.Duration, restarted bool) {
		reported = append(reported, termination{id, lastSeen, restarted})
	}
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", testStart)
	entry := func(id string, born int64, draining bool) *registry.Entry {
		return &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4, Born: born, Draining: draining}
	}
	listing := []registry.Change{
		{ID: "gone", Offset: 1, Entry: entry("gone", 1, false)}, {ID: "restarted", Offset: 2, Entry: entry("restarted", 1, false)},
		{ID: "drained", Offset: 3, Entry: entry("drained", 1, false)}, {ID: "stays", Offset: 4, Entry: entry("stays", 1, false)},
	}
	n.handleTargetsRead(targetsRead{startedAt: testStart, changes: listing, complete: true, next: topic.Position{Offset: 5}}, testStart)
	pool := n.View().Pools["s"]
	before := pool.Target("restarted")
	pool.UpdateLoad([]dispatch.TargetLoad{{Target: before, LoadReport: dispatch.LoadReport{ReceivedAt: time.Second}}})
	n.handleTargetsRead(targetsRead{startedAt: testStart, next: topic.Position{Offset: 10}, changes: []registry.Change{
		{ID: "drained", Offset: 5, Entry: entry("drained", 1, true)}, {ID: "drained", Offset: 6}, {ID: "gone", Offset: 7},
		{ID: "restarted", Offset: 8, Entry: entry("restarted", 2, false)}, {ID: "stays", Offset: 9, Entry: entry("stays", 1, false)},
	}}, testStart)
	slices.SortFunc(reported, func(a, b termination) int { return len(a.id) - len(b.id) })
	if !slices.Equal(reported, []termination{{"gone", 0, false}, {"restarted", time.Second, true}}) {
		t.Errorf("reported terminations %v, want gone and restarted", reported)
	}
	if after := pool.Target("restarted"); after == before || after.Incarnation() == before.Incarnation() {
		t.Error("the new incarnation is taken for the old one")
	}
}
