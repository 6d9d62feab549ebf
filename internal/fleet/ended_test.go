package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/routes"
)

// Guards against targets whose end only the store tells, and against departures that are taken for one: a target that drained
// answered what it had.
func TestEndsOfTargetsAreTold(t *testing.T) {
	type end struct {
		id      string
		aliveAt time.Duration
		again   bool
	}
	var told []end
	n := quietNode(t, member("a1", "a"))
	n.TargetTerminated = func(id string, aliveAt time.Duration, again bool) { told = append(told, end{id, aliveAt, again}) }
	n.applyConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}}, "store", begin)
	entry := func(id string, born int64, draining bool) *registry.Entry {
		return &registry.Entry{ID: id, Address: "127.0.0.1:9", Zone: "a", Service: "s", Slots: 4, Born: born, Draining: draining}
	}
	listing := []registry.Change{
		{ID: "gone", Offset: 1, Entry: entry("gone", 1, false)}, {ID: "reborn", Offset: 2, Entry: entry("reborn", 1, false)},
		{ID: "drained", Offset: 3, Entry: entry("drained", 1, false)}, {ID: "stays", Offset: 4, Entry: entry("stays", 1, false)},
	}
	n.handleTargets(targetsRead{began: begin, changes: listing, listed: true, next: 5}, begin)
	pool := n.View().Pools["s"]
	before := pool.Target("reborn")
	pool.UpdateLoad([]dispatch.TargetLoad{{Target: before, LoadReport: dispatch.LoadReport{ReceivedAt: time.Second}}})
	n.handleTargets(targetsRead{began: begin, next: 10, changes: []registry.Change{
		{ID: "drained", Offset: 5, Entry: entry("drained", 1, true)}, {ID: "drained", Offset: 6}, {ID: "gone", Offset: 7},
		{ID: "reborn", Offset: 8, Entry: entry("reborn", 2, false)}, {ID: "stays", Offset: 9, Entry: entry("stays", 1, false)},
	}}, begin)
	slices.SortFunc(told, func(a, b end) int { return len(a.id) - len(b.id) })
	if !slices.Equal(told, []end{{"gone", 0, false}, {"reborn", time.Second, true}}) {
		t.Errorf("told ends: %v", told)
	}
	if after := pool.Target("reborn"); after == before || after.Incarnation() == before.Incarnation() {
		t.Error("the new incarnation is taken for the old one")
	}
}
