package control

import (
	"encoding/json"
	"time"

	"github.com/basillink/basillink/internal/peer"
)

// eventQueue bounds the events that wait for the control goroutine. An event is a few dozen bytes.
const eventQueue = 1024

// Observe hands what a traffic goroutine learned about a target to the control goroutine. It never blocks: when the
// queue is full the event is dropped, counted, and false is returned.
func (l *Loop) Observe(e TargetEvent) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// DroppedEvents returns how many events were dropped because the queue was full.
func (l *Loop) DroppedEvents() uint64 { return l.dropped.Load() }

// ObserveLeaving reports a target that says on an answer that it is leaving. It may be called from any goroutine for
// every such answer, and hands on one event for each target and snapshot.
func (l *Loop) ObserveDraining(t *Target, incarnation string) {
	if t.reported.Load() {
		return
	}
	if l.Observe(TargetEvent{Address: t.Address, Incarnation: incarnation, Draining: true}) {
		t.reported.Store(true)
	}
}

// departedFrom returns the departed targets with the service in force that names them. It must be called on the control
// goroutine.
func (l *Loop) departedFrom() map[string]*Service {
	departed := map[string]*Service{}
	snapshot := l.Snapshot()
	if snapshot == nil || len(l.departures.addresses()) == 0 {
		return departed
	}
	for _, service := range snapshot.Services {
		for _, target := range service.Spec.Targets {
			if l.departures.contains(target.Address) {
				departed[target.Address] = service
			}
		}
	}
	return departed
}

func (l *Loop) applyEvent(e TargetEvent) {
	if !l.departures.observe(l.now(), e) {
		return
	}
	l.log.Info("A target changed.", "target", e.Address, "incarnation", e.Incarnation, "leaving", e.Draining)
	if l.spread != nil {
		l.spread(l.departureRumor(e.Address))
	}
	l.republish()
}

func (l *Loop) departureRumor(address string) peer.Rumor {
	payload := l.departures.targets[address].encode(l.now())
	return peer.Rumor{Kind: peer.KindDeparture, Key: address, Payload: payload}
}

// DepartureHandler handles the rumors about departures. Spread passes news on to peers; it is called on the
// control goroutine. It must be called before Run.
func (l *Loop) DepartureHandler(spread func(peer.Rumor)) peer.Handler {
	l.spread = spread
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

func (l *Loop) receiveDeparture(r peer.Rumor) bool {
	var remote departure
	if err := json.Unmarshal(r.Payload, &remote); err != nil || len(remote.Departed) == 0 {
		l.log.Warn("Ignored a malformed rumor about a target.", "target", r.Key)
		return false
	}
	remote.Departed = unite(remote.Departed, nil, remote.Current)
	if !l.departures.merge(l.now(), r.Key, &remote) {
		return false
	}
	l.log.Info("A peer knows of a change of a target.", "target", r.Key, "leaving", l.departures.contains(r.Key))
	l.republish()
	return true
}

// expireDepartures forgets old departures, so that a target without incarnations receives requests again.
func (l *Loop) expireDepartures() {
	if l.departures.expire(l.now()) {
		l.republish()
	}
}

// republish builds a snapshot after a change of departures. Without a configuration there is none to build, and an
// empty one would make the instance ready.
func (l *Loop) republish() {
	if l.snapshot.Load() != nil {
		l.publish()
	}
}

func (l *Loop) now() time.Duration { return time.Since(l.start) }
