package control

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/chart"
)

const (
	// departureLifetime is how long a departure is remembered when the target does not come back.
	departureLifetime = 10 * time.Minute
	// maxDepartures bounds the table. 4,600 targets do not leave within 10 minutes.
	maxDepartures = 4096
	// maxIncarnations bounds the departed incarnations that are remembered for one target, so that a departure fits
	// into a rumor.
	maxIncarnations = 5
	// maxIncarnationBytes bounds an incarnation, so that a departure fits into a rumor.
	maxIncarnationBytes = 64
)

// departureChart is charts/departure.toml. It is compiled, because the table holds a state for each target that left.
var departureChart = chart.MustTable("departure")

var (
	statePresent  = departureChart.MustState("present")
	stateDeparted = departureChart.MustState("departed")

	eventDeparted  = departureChart.MustEvent("departed")
	eventReturned  = departureChart.MustEvent("returned")
	eventForgotten = departureChart.MustEvent("forgotten")
)

// TargetEvent is what a traffic goroutine or the list learned about a target.
type TargetEvent struct {
	Address string
	// Incarnation is the value of Target-Incarnation, empty when the target does not report one.
	Incarnation string
	// Draining says that this incarnation is leaving.
	Draining bool
}

// departure is what is known about a target that left. The fields are sent to peers as JSON.
type departure struct {
	// Departed holds the incarnations that left, in order.
	Departed []string `json:"d"`
	// Current is the incarnation seen last. The target is departed when it is one of Departed.
	Current string `json:"c"`
	// Version orders what instances learned one after another.
	Version uint32 `json:"v"`
	// AgeMS is the time since the departure was first known to any instance.
	AgeMS int64 `json:"a"`

	since time.Duration
	// state follows charts/departure.toml. It is set by departures.store.
	state chart.StateID
}

// departed reports whether the incarnation seen last has left.
func (d *departure) departed() bool { return slices.Contains(d.Departed, d.Current) }

// departures is the table of targets that left. It is owned by the control goroutine; times are monotonic times since
// the start of the process.
type departures struct{ targets map[string]*departure }

func newDepartures() *departures { return &departures{targets: map[string]*departure{}} }

// contains reports whether the target at an address must not receive new requests.
func (t *departures) contains(address string) bool { return t.state(address) == stateDeparted }

func (t *departures) state(address string) chart.StateID {
	if d := t.targets[address]; d != nil {
		return d.state
	}
	return statePresent
}

// addresses returns the departed targets in order.
func (t *departures) addresses() []string {
	var list []string
	for address, d := range t.targets {
		if d.state == stateDeparted {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// observe takes an event into account and reports whether it changed the table.
func (t *departures) observe(now time.Duration, e TargetEvent) bool {
	if len(e.Incarnation) > maxIncarnationBytes {
		e.Incarnation = e.Incarnation[:maxIncarnationBytes]
	}
	d := t.targets[e.Address]
	if e.Draining {
		return t.depart(now, e, d)
	}
	if d == nil || e.Incarnation == "" || slices.Contains(d.Departed, e.Incarnation) || d.Current == e.Incarnation {
		return false
	}
	next := *d
	next.Current = e.Incarnation
	next.Version++
	return t.store(e.Address, &next)
}

func (t *departures) depart(now time.Duration, e TargetEvent, d *departure) bool {
	if d == nil {
		return t.store(e.Address, &departure{Departed: []string{e.Incarnation}, Current: e.Incarnation, Version: 1, since: now})
	}
	if slices.Contains(d.Departed, e.Incarnation) {
		return false
	}
	next := departure{
		Departed: unite(d.Departed, []string{e.Incarnation}, e.Incarnation),
		Current:  e.Incarnation,
		Version:  d.Version + 1,
		since:    now,
	}
	return t.store(e.Address, &next)
}

// merge takes over what a peer knows and reports whether it changed the table. The result does not depend on the
// order of merges: departed incarnations are united, and the higher version decides which one is current.
func (t *departures) merge(now time.Duration, address string, remote *departure) bool {
	remote.since = now - time.Duration(remote.AgeMS)*time.Millisecond
	if remote.AgeMS < 0 || now-remote.since >= departureLifetime {
		return false
	}
	local := t.targets[address]
	if local == nil {
		return t.store(address, remote)
	}
	merged := *local
	if newer(remote, local) {
		merged = *remote
	}
	merged.Departed = unite(local.Departed, remote.Departed, merged.Current)
	merged.since = max(local.since, remote.since)
	if merged.Version == local.Version && merged.Current == local.Current && slices.Equal(merged.Departed, local.Departed) {
		return false
	}
	return t.store(address, &merged)
}

// newer orders two views of one target. Of equal versions, the one that says departed wins, because sending a
// request to a target that left is the worse error.
func newer(a, b *departure) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.departed() != b.departed() {
		return a.departed()
	}
	return a.Current > b.Current
}

// unite returns the incarnations of both lists in order, which does not depend on the order of merges. Beyond the
// bound it drops some that are not current.
func unite(a, b []string, current string) []string {
	united := slices.Concat(a, b)
	slices.Sort(united)
	united = slices.Compact(united)
	for i := 0; len(united) > maxIncarnations; {
		if united[i] == current {
			i++
			continue
		}
		united = slices.Delete(united, i, i+1)
	}
	return united
}

// store takes over what is known about a target by the event that it means. It drops the oldest target when the table
// is full, and reports false when the chart refuses the event.
func (t *departures) store(address string, d *departure) bool {
	event := eventReturned
	if d.departed() {
		event = eventDeparted
	}
	next, err := departureChart.Next(t.state(address), event)
	if err != nil {
		return false
	}
	d.state = next
	t.targets[address] = d
	if len(t.targets) > maxDepartures {
		t.dropOldest()
	}
	return true
}

func (t *departures) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.targets)), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.targets[a].since, t.targets[b].since), cmp.Compare(a, b))
	})
	_ = t.forget(oldest)
}

// forget drops a target. It fails when none is known at the address.
func (t *departures) forget(address string) error {
	if _, err := departureChart.Next(t.state(address), eventForgotten); err != nil {
		return err
	}
	delete(t.targets, address)
	return nil
}

// expire drops targets whose lifetime has passed and reports whether there were any.
func (t *departures) expire(now time.Duration) bool {
	before := len(t.targets)
	for address, d := range t.targets {
		if now-d.since >= departureLifetime {
			_ = t.forget(address)
		}
	}
	return len(t.targets) != before
}

// digest identifies the table except for ages.
func (t *departures) digest() uint64 {
	var sum uint64
	for address, d := range t.targets {
		h := fnv.New64a()
		view := departure{Departed: d.Departed, Current: d.Current, Version: d.Version}
		_ = json.NewEncoder(h).Encode(struct {
			Address string
			View    departure
		}{address, view})
		sum ^= h.Sum64()
	}
	return sum
}

func (d *departure) encode(now time.Duration) []byte {
	view := *d
	view.AgeMS = (now - d.since).Milliseconds()
	data, _ := json.Marshal(view) // strings and numbers always encode
	return data
}
