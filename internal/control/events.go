package control

import (
	"encoding/json"
	"time"

	"github.com/basillink/basillink/internal/peer"
)

// eventQueueSize limits the events queued for the control goroutine. An event takes a few dozen bytes.
const eventQueueSize = 1024

// Observe queues an event for the control goroutine. It may be called from any goroutine and never blocks: if the queue
// is full, it counts the event as dropped and returns false.
func (l *Loop) Observe(e TargetEvent) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.droppedEvents.Add(1)
		return false
	}
}

// DroppedEvents returns the number of events dropped because the queue was full.
func (l *Loop) DroppedEvents() uint64 { return l.droppedEvents.Load() }

// ObserveDraining reports a target that announced its departure in an answer. It may be called from any goroutine for
// every such answer; it does nothing once an event for t has been queued.
func (l *Loop) ObserveDraining(t *Target, incarnation string) {
	if t.departureReported.Load() {
		return
	}
	if l.Observe(TargetEvent{Address: t.Address, Incarnation: incarnation, Draining: true}) {
		t.departureReported.Store(true)
	}
}

// departedTargets returns the addresses of the departed targets, each with a service in force that lists it. It must be
// called on the control goroutine.
func (l *Loop) departedTargets() map[string]*Service {
	departed := map[string]*Service{}
	snapshot := l.Snapshot()
	if snapshot == nil || len(l.departures.departedAddresses()) == 0 {
		return departed
	}
	for _, service := range snapshot.Services {
		for _, target := range service.Spec.Targets {
			if l.departures.isDeparted(target.Address) {
				departed[target.Address] = service
			}
		}
	}
	return departed
}

// applyEvent applies an event to the departures. A change is spread to peers and published.
func (l *Loop) applyEvent(e TargetEvent) {
	if !l.departures.observe(l.now(), e) {
		return
	}
	l.log.Info("A target changed.", "target", e.Address, "incarnation", e.Incarnation, "leaving", e.Draining)
	if l.spreadRumor != nil {
		l.spreadRumor(l.departureRumor(e.Address))
	}
	l.republish()
}

// departureRumor returns the rumor about a target in the table.
func (l *Loop) departureRumor(address string) peer.Rumor {
	payload := l.departures.targets[address].encode(l.now())
	return peer.Rumor{Kind: peer.KindDeparture, Key: address, Payload: payload}
}

// DepartureHandler returns the handler for rumors about departures. spreadRumor sends a rumor to peers; it is called on
// the control goroutine. DepartureHandler must be called before Run.
func (l *Loop) DepartureHandler(spreadRumor func(peer.Rumor)) peer.Handler {
	l.spreadRumor = spreadRumor
	return peer.Handler{
		Receive: l.receiveDeparture,
		Digest:  l.departures.digest,
		List: func() []peer.Rumor {
			var list []peer.Rumor
			for address := range l.departures.targets {
				list = append(list, l.departureRumor(address))
			}
			return list
		},
	}
}

// receiveDeparture merges a rumor and reports whether it changed the table.
func (l *Loop) receiveDeparture(r peer.Rumor) bool {
	var remote departure
	if err := json.Unmarshal(r.Payload, &remote); err != nil || len(remote.Departed) == 0 {
		l.log.Warn("Ignored a malformed rumor about a target.", "target", r.Key)
		return false
	}
	remote.Departed = mergeIncarnations(remote.Departed, nil, remote.Current)
	if !l.departures.merge(l.now(), r.Key, &remote) {
		return false
	}
	l.log.Info("A peer reported a changed target.", "target", r.Key, "leaving", l.departures.isDeparted(r.Key))
	l.republish()
	return true
}

// expireDepartures removes old departures. A target that sends no incarnation is used again only this way.
func (l *Loop) expireDepartures() {
	if l.departures.expire(l.now()) {
		l.republish()
	}
}

// republish publishes a snapshot after a change of the departures. It does nothing before the first configuration,
// because an empty snapshot would make the instance ready.
func (l *Loop) republish() {
	if l.snapshot.Load() != nil {
		l.publish()
	}
}

// now returns the monotonic time since the start of the loop.
func (l *Loop) now() time.Duration { return time.Since(l.start) }
