package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/platform"
	"github.com/basillink/basillink/operator"
)

// changePage returns a page of the log with a change of a service to the given targets, or with its removal.
func changePage(t testing.TB, l *Loop, name string, remove bool, addresses ...string) platform.Page {
	s := operator.Service{Name: name, Region: "tz-north", Zones: []string{"tz-north-a"}, Classes: []operator.Class{{Name: "lookup"}}}
	for _, address := range addresses {
		s.Targets = append(s.Targets, operator.Target{Address: address, Zone: "tz-north-a"})
	}
	s.Provision()
	spec, err := intent.EncodeService(s)
	if remove {
		spec = ""
	}
	state := l.fold.State()
	change := &intent.Change{ID: fmt.Sprint(state.Through), Service: name, Base: state.Current(name), Spec: spec}
	payload, payloadErr := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	if err != nil || payloadErr != nil {
		t.Fatal(err, payloadErr)
	}
	record := platform.Record{Offset: state.Through + 1, Payload: payload}
	return platform.Page{Earliest: 1, Next: record.Offset + 1, Records: []platform.Record{record}}
}

// Guards against an incremental snapshot that closes a pool in use, keeps one without users, or misses a departure.
func TestPoolsFollowSnapshot(t *testing.T) {
	l := New("tz-north-a", balancer.TwoChoices{}, quiet)
	random := rand.New(rand.NewPCG(1, 9))
	for i := range 500 {
		if address := fmt.Sprintf("10.0.0.%d:80", random.IntN(6)); i%5 == 4 {
			l.applyEvent(TargetEvent{Address: address, Incarnation: fmt.Sprint(random.IntN(i)), Draining: random.IntN(2) == 0})
		}
		var addresses []string
		for _, n := range random.Perm(6)[:1+random.IntN(5)] {
			addresses = append(addresses, fmt.Sprintf("10.0.0.%d:80", n))
		}
		page := changePage(t, l, fmt.Sprint("s", random.IntN(3)), random.IntN(4) == 0, addresses...)
		if err := l.applyPage(page); err != nil {
			t.Fatal(err)
		}
		used := map[string]bool{}
		for name, service := range l.Snapshot().Services {
			want := 0
			for _, target := range l.fold.State().Services[name].Spec.Targets {
				if !l.departures.contains(target.Address) {
					want++
				}
			}
			for _, target := range service.Targets {
				used[target.Address] = true
				if l.pools[target.Address] == nil || l.pools[target.Address].Pool != target.Pool || l.departures.contains(target.Address) {
					t.Fatalf("step %d: target %s of %s is departed or has a closed pool", i, target.Address, name)
				}
			}
			if len(service.Targets) != want || len(used) > len(l.pools) {
				t.Fatalf("step %d: %s has %d targets, want %d", i, name, len(service.Targets), want)
			}
		}
		if len(used) != len(l.pools) {
			t.Fatalf("step %d: %d pools for %d targets", i, len(l.pools), len(used))
		}
	}
}

// BenchmarkTwoYear measures one change of a service with 35 targets, from the page of the log to the snapshot.
func BenchmarkTwoYear(b *testing.B) {
	builder, _ := balancer.Find("combined")
	l := New("tz-north-a", balancer.ForInstance(builder, "a"), quiet)
	page := func(i int) platform.Page {
		var addresses []string
		for j := range 4600 / 130 {
			addresses = append(addresses, fmt.Sprintf("10.%d.0.%d:8080", i, j+1))
		}
		return changePage(b, l, fmt.Sprintf("service-%03d", i), false, addresses...)
	}
	for i := range 130 {
		_ = l.applyPage(page(i))
	}
	for b.Loop() {
		b.StopTimer()
		next := page(int(l.Through()) % 130)
		b.StartTimer()
		if err := l.applyPage(next); err != nil {
			b.Fatal(err)
		}
	}
}
