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

// Guards against a target that receives requests after its departure, and against one that stays out after its return.
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
		if got := table.contains(address); got != c.departed {
			t.Errorf("%s: departed is %t", c.name, got)
		}
		var refused *chart.TransitionError
		if err := table.forget("10.0.0.8:8080"); !errors.As(err, &refused) {
			t.Errorf("%s: an unknown target was forgotten: %v", c.name, err)
		}
	}
}

// Guards against instances that disagree on departures for ever, whatever the order in which they learn.
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
			if tables[0].contains(address) != d.departed() {
				t.Fatalf("seed %d: target %s is in state %d, its last incarnation departed is %t", seed, address, d.state, d.departed())
			}
		}
		if tables[0].digest() != tables[1].digest() || tables[1].digest() != tables[2].digest() {
			t.Fatalf("seed %d: tables differ", seed)
		}
	}
}

// Guards against a table that grows without bound, a departure that outlives its lifetime, and one that is kept alive
// by being passed around.
func TestDeparturesAreBounded(t *testing.T) {
	table, other := newDepartures(), newDepartures()
	for i := range maxDepartures + 10 {
		table.observe(time.Duration(i), TargetEvent{Address: fmt.Sprint(i), Draining: true})
	}
	if n := len(table.targets); n != maxDepartures {
		t.Errorf("%d departures", n)
	}
	if table.contains("0") || !table.contains(fmt.Sprint(maxDepartures)) {
		t.Error("not the oldest departures were dropped")
	}
	// The other process started 5 minutes later; its clock shows an earlier time.
	late := departureLifetime - time.Second
	var copied departure
	if err := json.Unmarshal(table.targets["20"].encode(late), &copied); err != nil {
		t.Fatal(err)
	}
	other.merge(late-5*time.Minute, "20", &copied)
	if !other.contains("20") {
		t.Error("a departure was not taken over")
	}
	other.expire(late - 5*time.Minute + 2*time.Second)
	if other.contains("20") {
		t.Error("a departure outlived its lifetime by being passed on")
	}
	table.expire(departureLifetime + time.Second)
	if len(table.targets) != 0 {
		t.Errorf("%d departures outlived their lifetime", len(table.targets))
	}
}

// Guards against a departure that no rumor can carry.
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

// Guards against a fresh instance that becomes ready without a configuration because a peer tells it of a departure.
func TestDepartureAloneIsNoConfiguration(t *testing.T) {
	loop := New("tz-north-a", balancer.TwoChoices{}, quiet)
	handler := loop.DepartureHandler(func(peer.Rumor) {})
	table := newDepartures()
	table.observe(0, TargetEvent{Address: "10.0.0.7:8080", Incarnation: "a", Draining: true})
	rumor := peer.Rumor{Kind: peer.KindDeparture, Key: "10.0.0.7:8080", Payload: table.targets["10.0.0.7:8080"].encode(0)}
	if !handler.Receive(rumor) || handler.Receive(rumor) {
		t.Error("a rumor is news exactly once")
	}
	if loop.Snapshot() != nil {
		t.Error("a snapshot without configuration is in force")
	}
}

// Guards against departed targets that nobody checks for many seconds, and against checks by every instance: instances
// with the same list check once in each slot, and a list that lacks an instance only adds some.
func TestInstancesTakeTurns(t *testing.T) {
	members := strings.Fields("i0 i1 i2 i3 i4 i5 i6 i7 i8 i9")
	for slot := range int64(1000) {
		same, lagging := 0, 0
		for i, id := range members {
			if (&turns{self: id, members: members, slot: slot}).due("10.0.0.7:8080") {
				same++
			}
			if (&turns{self: id, members: members[:max(i, 9)], slot: slot}).due("10.0.0.7:8080") {
				lagging++
			}
		}
		if same != 1 || lagging < 1 || lagging > 2 {
			t.Fatalf("slot %d: %d checks with the same lists, %d when nobody knows of the last instance", slot, same, lagging)
		}
	}
}
