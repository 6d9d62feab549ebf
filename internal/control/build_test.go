package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/basillink/basillink/internal/balancer"
	"github.com/basillink/basillink/internal/intent"
	"github.com/basillink/basillink/internal/logservice"
)

// changePage returns a page of the log with a change that sets the targets of a service, or removes the service if there
// are none.
func changePage(l *Loop, name string, addresses ...string) logservice.Page {
	service, target, _ := strings.Cut(flightdeskSpec, "[[service.target]]")
	spec := ""
	for i, address := range addresses {
		if i == 0 {
			spec = strings.Replace(service, "flightdesk", name, 1)
		}
		spec += "[[service.target]]" + strings.Replace(target, "127.0.0.1:8080", address, 1)
	}
	state := l.fold.State()
	change := &intent.Change{ID: fmt.Sprint(state.Through), Service: name, Base: state.CurrentRevision(name), Spec: spec}
	payload, _ := (&intent.Record{Kind: intent.KindChange, Change: change}).Encode()
	record := logservice.Record{Offset: state.Through + 1, Payload: payload}
	return logservice.Page{Earliest: 1, Next: record.Offset + 1, Records: []logservice.Record{record}}
}

// Guards against an incremental snapshot that closes a pool in use, keeps an unused pool open, or ignores a departure.
func TestPoolsMatchSnapshot(t *testing.T) {
	l := New("tz-north-a", balancer.TwoChoices{}, discardLogger)
	random := rand.New(rand.NewPCG(1, 9))
	for i := range 500 {
		addresses := []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"}
		random.Shuffle(6, func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if i%5 == 4 {
			l.applyEvent(TargetEvent{Address: addresses[0], Incarnation: fmt.Sprint(random.IntN(i)), Draining: i%2 == 0})
		}
		_ = l.applyPage(changePage(l, fmt.Sprint("s", random.IntN(3)), addresses[:random.IntN(6)]...))
		refs := map[string]int{}
		for name, entry := range l.fold.State().Services {
			for _, target := range entry.Spec.Targets {
				if l.departures.isDeparted(target.Address) {
					continue
				}
				refs[target.Address]++
				pool, targets := l.pools[target.Address], l.Snapshot().Services[name].Targets
				if pool == nil || !slices.ContainsFunc(targets, func(t *Target) bool { return t.Pool == pool.Pool }) {
					t.Fatalf("step %d: target %s of %s has no open pool", i, target.Address, name)
				}
			}
		}
		for address, pool := range l.pools {
			if pool.refs != refs[address] {
				t.Fatalf("step %d: %d references to the pool of %s, want %d", i, pool.refs, address, refs[address])
			}
		}
	}
}

// BenchmarkApplyChangeTwoYearSize measures applying one change of a service with 35 targets, from the page of the log to
// the snapshot, with 130 services and 4,600 targets, the size that is expected within two years.
func BenchmarkApplyChangeTwoYearSize(b *testing.B) {
	builder, _ := balancer.Find("combined")
	l := New("tz-north-a", balancer.ForInstance(builder, "a"), discardLogger)
	page := func() logservice.Page {
		i, addresses := l.AppliedOffset()%130, make([]string, 4600/130)
		for j := range addresses {
			addresses[j] = fmt.Sprintf("10.%d.0.%d:8080", i, j+1)
		}
		return changePage(l, fmt.Sprintf("service-%03d", i), addresses...)
	}
	for range 130 {
		_ = l.applyPage(page())
	}
	for b.Loop() {
		b.StopTimer()
		next := page()
		b.StartTimer()
		if err := l.applyPage(next); err != nil {
			b.Fatal(err)
		}
	}
}
