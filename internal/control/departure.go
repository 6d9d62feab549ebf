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
	// departureLifetime is how long a departure is kept if the target does not return.
	departureLifetime = 10 * time.Minute
	// maxDepartures limits the table. The 4,600 targets that are expected within two years do not all depart within
	// departureLifetime, 10 minutes.
	maxDepartures = 4096
	// maxIncarnations limits the departed incarnations kept for one target, so that a departure fits into a rumor.
	maxIncarnations = 5
	// maxIncarnationBytes limits the length of an incarnation, so that a departure fits into a rumor.
	maxIncarnationBytes = 64
)

// departureChart is charts/departure.toml. It is a compiled table, because a state is kept for each departed target.
var departureChart = chart.MustTable("departure")

var (
	statePresent  = departureChart.MustState("present")
	stateDeparted = departureChart.MustState("departed")

	eventDeparted  = departureChart.MustEvent("departed")
	eventReturned  = departureChart.MustEvent("returned")
	eventForgotten = departureChart.MustEvent("forgotten")
)

// TargetEvent is an observation of a target by a traffic goroutine, a return check or the instance list.
type TargetEvent struct {
	Address string
	// Incarnation is the value of the Target-Incarnation header, empty if the target does not send it.
	Incarnation string
	// Draining is set if this incarnation announced its departure.
	Draining bool
}

// departure is the state of a target that departed and may have returned. Peers exchange the tagged fields as JSON.
type departure struct {
	// Departed holds the departed incarnations in ascending order.
	Departed []string `json:"d"`
	// Current is the incarnation seen last. The target is departed if Departed contains it.
	Current string `json:"c"`
	// Version is incremented by each update. The higher version wins when instances merge their states.
	Version uint32 `json:"v"`
	// AgeMS is the time in milliseconds since an instance first observed the departure. It is set only when encoding.
	AgeMS int64 `json:"a"`

	// departedAt is the local time at which the departure was first observed.
	departedAt time.Duration
	// state is the state in charts/departure.toml. It is set by departures.store.
	state chart.StateID
}

// currentDeparted reports whether the incarnation seen last has departed.
func (d *departure) currentDeparted() bool { return slices.Contains(d.Departed, d.Current) }

// departures is the table of departed targets by address. It is owned by the control goroutine. Its times are monotonic
// times since the start of the process.
type departures struct{ targets map[string]*departure }

func newDepartures() *departures { return &departures{targets: map[string]*departure{}} }

// isDeparted reports whether the target at an address has departed and must not receive new requests.
func (t *departures) isDeparted(address string) bool { return t.state(address) == stateDeparted }

// state returns the chart state of the target at an address. A target that is not in the table is present.
func (t *departures) state(address string) chart.StateID {
	if d := t.targets[address]; d != nil {
		return d.state
	}
	return statePresent
}

// departedAddresses returns the sorted addresses of the departed targets.
func (t *departures) departedAddresses() []string {
	var list []string
	for address, d := range t.targets {
		if d.state == stateDeparted {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// observe applies an event and reports whether it changed the table. An incarnation that is not known as departed ends
// the departure.
func (t *departures) observe(now time.Duration, e TargetEvent) bool {
	if len(e.Incarnation) > maxIncarnationBytes {
		e.Incarnation = e.Incarnation[:maxIncarnationBytes]
	}
	d := t.targets[e.Address]
	if e.Draining {
		return t.observeDraining(now, e, d)
	}
	if d == nil || e.Incarnation == "" || slices.Contains(d.Departed, e.Incarnation) || d.Current == e.Incarnation {
		return false
	}
	next := *d
	next.Current = e.Incarnation
	next.Version++
	return t.store(e.Address, &next)
}

// observeDraining records the departure of an incarnation. d is the entry of the target or nil.
func (t *departures) observeDraining(now time.Duration, e TargetEvent, d *departure) bool {
	if d == nil {
		return t.store(e.Address, &departure{Departed: []string{e.Incarnation}, Current: e.Incarnation, Version: 1, departedAt: now})
	}
	if slices.Contains(d.Departed, e.Incarnation) {
		return false
	}
	next := departure{
		Departed:   mergeIncarnations(d.Departed, []string{e.Incarnation}, e.Incarnation),
		Current:    e.Incarnation,
		Version:    d.Version + 1,
		departedAt: now,
	}
	return t.store(e.Address, &next)
}

// merge merges the state received from a peer and reports whether it changed the table. The result does not depend on
// the order of merges: the departed incarnations are combined, and the higher version determines the current one.
func (t *departures) merge(now time.Duration, address string, remote *departure) bool {
	remote.departedAt = now - time.Duration(remote.AgeMS)*time.Millisecond
	if remote.AgeMS < 0 || now-remote.departedAt >= departureLifetime {
		return false
	}
	local := t.targets[address]
	if local == nil {
		return t.store(address, remote)
	}
	merged := *local
	if supersedes(remote, local) {
		merged = *remote
	}
	merged.Departed = mergeIncarnations(local.Departed, remote.Departed, merged.Current)
	merged.departedAt = max(local.departedAt, remote.departedAt)
	if merged.Version == local.Version && merged.Current == local.Current && slices.Equal(merged.Departed, local.Departed) {
		return false
	}
	return t.store(address, &merged)
}

// supersedes reports whether a takes precedence over b. At equal versions, the state that is departed wins, because
// sending requests to a departed target is worse than not using a returned one.
func supersedes(a, b *departure) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.currentDeparted() != b.currentDeparted() {
		return a.currentDeparted()
	}
	return a.Current > b.Current
}

// mergeIncarnations returns the sorted union of both lists, which does not depend on the order of merges. If it exceeds
// maxIncarnations, the first incarnations other than current are dropped.
func mergeIncarnations(a, b []string, current string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	merged = slices.Compact(merged)
	for i := 0; len(merged) > maxIncarnations; {
		if merged[i] == current {
			i++
			continue
		}
		merged = slices.Delete(merged, i, i+1)
	}
	return merged
}

// store sets the entry of a target and its chart state. It evicts the oldest entry if the table is full, and returns
// false if the chart does not allow the transition.
func (t *departures) store(address string, d *departure) bool {
	event := eventReturned
	if d.currentDeparted() {
		event = eventDeparted
	}
	next, err := departureChart.Next(t.state(address), event)
	if err != nil {
		return false
	}
	d.state = next
	t.targets[address] = d
	if len(t.targets) > maxDepartures {
		t.evictOldest()
	}
	return true
}

// evictOldest removes the entry with the earliest departure.
func (t *departures) evictOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.targets)), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.targets[a].departedAt, t.targets[b].departedAt), cmp.Compare(a, b))
	})
	_ = t.remove(oldest)
}

// remove removes the entry of a target. It returns an error if there is none.
func (t *departures) remove(address string) error {
	if _, err := departureChart.Next(t.state(address), eventForgotten); err != nil {
		return err
	}
	delete(t.targets, address)
	return nil
}

// expire removes the entries older than departureLifetime and reports whether there were any.
func (t *departures) expire(now time.Duration) bool {
	before := len(t.targets)
	for address, d := range t.targets {
		if now-d.departedAt >= departureLifetime {
			_ = t.remove(address)
		}
	}
	return len(t.targets) != before
}

// digest returns a digest of the table without ages. It does not depend on the order of the entries.
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

// encode returns the JSON form with the age at the given time.
func (d *departure) encode(now time.Duration) []byte {
	view := *d
	view.AgeMS = (now - d.departedAt).Milliseconds()
	data, _ := json.Marshal(view) // cannot fail for strings and numbers
	return data
}
