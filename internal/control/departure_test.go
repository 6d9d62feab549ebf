package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/chart"
	"github.com/basillink/basillink/internal/peer"
)

// Guards against sending requests to a departed target, and against not using a returned one.
func TestDeparturesOfOneTarget(t *testing.T) {
	const address = "10.0.0.7:8080"
	leaving := func(incarnation string) TargetEvent {
		return TargetEvent{Address: address, Incarnation: incarnation, Draining: true}
	}
	seen := func(incarnation string) TargetEvent { return TargetEvent{Address: address, Incarnation: incarnation} }
	cases := []struct {
		name     string
		events   []TargetEvent
		departed bool
	}{
		{"unknown target is seen", []TargetEvent{seen("a")}, false},
		{"leaves", []TargetEvent{leaving("a")}, true},
		{"late answer of the departed incarnation", []TargetEvent{leaving("a"), seen("a")}, true},
		{"answer without incarnation", []TargetEvent{leaving("a"), seen("")}, true},
		{"returns", []TargetEvent{leaving("a"), seen("b")}, false},
		{"returns, and the old incarnation is reported late", []TargetEvent{leaving("a"), seen("b"), leaving("a")}, false},
		{"returns and leaves again", []TargetEvent{leaving("a"), seen("b"), leaving("b")}, true},
		{"returns twice", []TargetEvent{leaving("a"), seen("b"), leaving("b"), seen("c")}, false},
		{"leaves without incarnation", []TargetEvent{leaving("")}, true},
		{"leaves without incarnation and returns with one", []TargetEvent{leaving(""), seen("b")}, false},
	}
	for _, c := range cases {
		table := newDepartures()
		for _, e := range c.events {
			table.observe(0, e)
		}
		if got := table.isDeparted(address); got != c.departed {
			t.Errorf("%s: isDeparted returned %t", c.name, got)
		}
		var refused *chart.TransitionError
		if err := table.remove("10.0.0.8:8080"); !errors.As(err, &refused) {
			t.Errorf("%s: removing an unknown target returned error %v, want *chart.TransitionError", c.name, err)
		}
	}
}

// Guards against tables that never converge, depending on the order in which instances learn of departures and returns.
func TestDeparturesConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		tables := []*departures{newDepartures(), newDepartures(), newDepartures()}
		pass := func(from, to *departures) {
			for address, d := range from.targets {
				var copied departure
				if err := json.Unmarshal(d.encode(0), &copied); err != nil {
					t.Fatal(err)
				}
				to.merge(0, address, &copied)
			}
		}
		for range 30 {
			e := TargetEvent{
				Address:     fmt.Sprint(random.IntN(2)),
				Incarnation: fmt.Sprint(random.IntN(4)),
				Draining:    random.IntN(2) == 0,
			}
			tables[random.IntN(3)].observe(0, e)
			if random.IntN(3) == 0 {
				pass(tables[random.IntN(3)], tables[random.IntN(3)])
			}
		}
		for range 3 {
			for _, i := range random.Perm(3) {
				for _, j := range random.Perm(3) {
					pass(tables[i], tables[j])
				}
			}
		}
		for address, d := range tables[0].targets {
			if tables[0].isDeparted(address) != d.currentDeparted() {
				t.Fatalf("seed %d: target %s is in state %d, but its current incarnation departed is %t", seed, address, d.state, d.currentDeparted())
			}
		}
		if tables[0].digest() != tables[1].digest() || tables[1].digest() != tables[2].digest() {
			t.Fatalf("seed %d: tables differ after exchanging all departures", seed)
		}
	}
}

// Guards against a table that grows without bound, and against a departure that outlives departureLifetime, in
// particular because instances keep sending it to each other.
func TestDeparturesAreBounded(t *testing.T) {
	table, other := newDepartures(), newDepartures()
	for i := range maxDepartures + 10 {
		table.observe(time.Duration(i), TargetEvent{Address: fmt.Sprint(i), Draining: true})
	}
	if n := len(table.targets); n != maxDepartures {
		t.Errorf("table has %d departures, want maxDepartures", n)
	}
	if table.isDeparted("0") || !table.isDeparted(fmt.Sprint(maxDepartures)) {
		t.Error("the evicted departures are not the oldest ones")
	}
	// The other process started 5 minutes later, so its monotonic time is 5 minutes behind.
	late := departureLifetime - time.Second
	var copied departure
	if err := json.Unmarshal(table.targets["20"].encode(late), &copied); err != nil {
		t.Fatal(err)
	}
	other.merge(late-5*time.Minute, "20", &copied)
	if !other.isDeparted("20") {
		t.Error("a departure from a peer was not merged")
	}
	other.expire(late - 5*time.Minute + 2*time.Second)
	if other.isDeparted("20") {
		t.Error("a departure from a peer outlived its lifetime")
	}
	table.expire(departureLifetime + time.Second)
	if len(table.targets) != 0 {
		t.Errorf("%d departures outlived their lifetime", len(table.targets))
	}
}

// Guards against a departure that exceeds the size limit of a rumor.
func TestLargestDepartureFitsIntoRumor(t *testing.T) {
	table := newDepartures()
	for i := range 10 {
		table.observe(0, TargetEvent{Address: "[2001:db8::1]:65535", Incarnation: strings.Repeat(fmt.Sprint(i), 100), Draining: true})
	}
	payload := table.targets["[2001:db8::1]:65535"].encode(departureLifetime)
	if err := (peer.Rumor{Kind: peer.KindDeparture, Key: "[2001:db8::1]:65535", Payload: payload}).Validate(); err != nil {
		t.Error(err)
	}
}

// Guards against an instance that becomes ready without a configuration because a peer reported a departure.
func TestDepartureRumorPublishesNoSnapshot(t *testing.T) {
	loop := New("tz-north-a", balancer.TwoChoices{}, discardLogger)
	handler := loop.DepartureHandler(func(peer.Rumor) {})
	table := newDepartures()
	table.observe(0, TargetEvent{Address: "10.0.0.7:8080", Incarnation: "a", Draining: true})
	rumor := peer.Rumor{Kind: peer.KindDeparture, Key: "10.0.0.7:8080", Payload: table.targets["10.0.0.7:8080"].encode(0)}
	if !handler.Receive(rumor) || handler.Receive(rumor) {
		t.Error("a rumor must be reported as new exactly once")
	}
	if loop.Snapshot() != nil {
		t.Error("a snapshot was published without a configuration")
	}
}

// Guards against departed targets that no instance checks for many seconds, and against checks by every instance.
// Instances with equal lists must check exactly once per slot; lists that lack one instance may add one check.
func TestInstancesShareReturnChecks(t *testing.T) {
	liveIDs := strings.Fields("i0 i1 i2 i3 i4 i5 i6 i7 i8 i9")
	for slot := range int64(1000) {
		same, lagging := 0, 0
		for i, id := range liveIDs {
			if (&checkSchedule{selfID: id, liveIDs: liveIDs, slot: slot}).assigned("10.0.0.7:8080") {
				same++
			}
			if (&checkSchedule{selfID: id, liveIDs: liveIDs[:max(i, 9)], slot: slot}).assigned("10.0.0.7:8080") {
				lagging++
			}
		}
		if same != 1 || lagging < 1 || lagging > 2 {
			t.Fatalf("slot %d: %d checks with equal lists, want 1; %d checks if no list contains the last instance, want 1 or 2", slot, same, lagging)
		}
	}
}
