package workspace

import (
	"testing"
	"time"

	"github.com/basillink/basillink/internal/routes"
)

// Guards against the priority of a route that goes before that of a workspace, and against priorities beyond the bounds that change
// the order.
func TestWorkspaceGoesBeforeRoute(t *testing.T) {
	caller := func(priority int) Caller { return Caller{Workspace: &routes.Workspace{Priority: priority}} }
	route := func(priority int) *routes.Route { return &routes.Route{Priority: priority} }
	ascending := []struct {
		caller Caller
		route  *routes.Route
	}{
		{caller(-5), route(0)}, {caller(0), route(1)}, {caller(0), route(1 << 40)}, {caller(1), route(0)}, {Caller{}, route(1)}, {caller(1), route(2)},
		{caller(2), route(0)}, {caller(1 << 40), route(0)}, {caller(1 << 40), route(3)},
	}
	for i := 1; i < len(ascending); i++ {
		before, after := ascending[i-1], ascending[i]
		if Priority(before.caller, before.route) >= Priority(after.caller, after.route) {
			t.Errorf("%d: priority %d, then %d", i, Priority(before.caller, before.route), Priority(after.caller, after.route))
		}
	}
}

// Guards against priorities of routes that fall together in a configuration without workspaces.
func TestRoutesWithoutWorkspacesKeepTheirOrder(t *testing.T) {
	ascending := []int{-1 << 40, -1000, -1, 0, 1, 998, 999, 1000, 1001, 1 << 40}
	for i := 1; i < len(ascending); i++ {
		before, after := Priority(Caller{}, &routes.Route{Priority: ascending[i-1]}), Priority(Caller{}, &routes.Route{Priority: ascending[i]})
		if before >= after {
			t.Errorf("priorities %d and %d of routes become %d and %d", ascending[i-1], ascending[i], before, after)
		}
	}
}

// Guards against keys that are relied on while it is not known how old they are, or for longer than the bound.
func TestFreshnessEnds(t *testing.T) {
	asOf, known := time.Second, false
	f := Freshness{Validity: Validity(5 * time.Second), AsOf: func() (time.Duration, bool) { return asOf, known }}
	if f.IsCurrent(asOf) || (Freshness{Validity: time.Hour}).IsCurrent(0) {
		t.Error("keys of an unknown age are current")
	}
	known = true
	// The platform owes answers of instances that have been out of touch for up to 0.6 of the bound.
	if !f.IsCurrent(asOf+3*time.Second) || f.IsCurrent(asOf+4250*time.Millisecond) {
		t.Error("keys must be current after 3 s and not after 4.25 s, with a bound of 5 s")
	}
}
