package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
)

// takeNews takes over what a peer read, and passes what came from another zone on to this zone.
func (n *Node) takeNews(ctx context.Context, d *datagram, p *peerState, now time.Time) {
	before := n.version()
	changed := d.Targets != nil && n.takeTargets(d.Targets, now)
	if n.targets.behind && n.asksPeer(p, &n.targets) {
		n.fetchState(ctx, p.Address, now)
	}
	if changed {
		n.publish(now)
	}
	if d.Config != nil {
		n.takeConfig(ctx, d.Config, p, now)
	}
	n.observe(d.Loads)
	if p.Zone == n.Self.Zone {
		n.keepForZones(d)
		return
	}
	if n.reader && !changed && !isNews(d.Config, before) {
		n.keepRemote(d.Loads)
		return
	}
	relay := n.base(now)
	relay.Loads, relay.Targets, relay.Config = d.Loads, n.targetsNote(now), n.configNote(now)
	n.tellZone(relay, now)
}

// keepForZones keeps readings by another instance of this zone for the others of the zone and for the other zones.
func (n *Node) keepForZones(d *datagram) {
	if !n.reader || d.Reader {
		return
	}
	at := n.Now()
	for _, note := range d.Loads {
		n.pending[note.Target] = loadSample{note, at - time.Duration(note.AgeMS)*time.Millisecond}
	}
	if len(n.parts) > directParts {
		n.keepRemote(d.Loads)
	}
}

// asksPeer reports whether this instance fetches from a peer what it lacks of a topic. Readers of zones read the store
// themselves, unless it does not answer them: one that was cut off would else know nothing until its next try.
func (n *Node) asksPeer(p *peerState, topic *topicReads) bool {
	return topic.backoff > 0 || n.targets.backoff > 0 || p.Zone == n.Self.Zone && !n.reader
}

// isNews reports whether a peer's configuration is newer than a version.
func isNews(note *configNote, version uint64) bool { return note != nil && note.Version > version }

// version returns the version of the configuration in force, 0 for none.
func (n *Node) version() uint64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// keepRemote keeps readings by another instance for the next datagram to this zone.
func (n *Node) keepRemote(loads []loadNote) {
	at := n.Now()
	for _, note := range loads {
		n.remote = append(n.remote, loadSample{note, at - time.Duration(note.AgeMS)*time.Millisecond})
	}
}

// addRemote moves the readings by other instances into a datagram to this zone.
func (n *Node) addRemote(d *datagram, now time.Time) {
	at := n.Now()
	for _, sample := range n.remote {
		d.Loads = append(d.Loads, sample.aged(at))
	}
	n.remote = n.remote[:0]
	n.remoteAt = now
}

// readerInterval is how long the reader of a zone is silent at most. The next member takes over after readerSilence.
const readerInterval = 100 * time.Millisecond

// announceReader tells the zone that this instance reads it when no readings did so, for example because the zone has no targets,
// and passes the readings of other zones on.
func (n *Node) announceReader(now time.Time) {
	if !n.reader || now.Sub(n.remoteAt) < readerInterval {
		return
	}
	d := n.base(now)
	n.addRemote(d, now)
	n.addCouncil(d, now)
	n.tellZone(d, now)
}

// councilInterval is how often the reader of a zone tells its council, where not all members belong to it.
const councilInterval = time.Second

// addCouncil adds the council of this zone to a datagram of its reader when it is time.
func (n *Node) addCouncil(d *datagram, now time.Time) {
	if now.Sub(n.councilAt) >= councilInterval && n.members.zoneSize() > councilSize {
		n.councilAt = now
		d.Council = n.members.councilIDs(now)
	}
}

// takeConfig notes the configuration of a peer, and fetches a newer one: from a peer of this zone, where bytes cost
// nothing, else from the store.
func (n *Node) takeConfig(ctx context.Context, note *configNote, p *peerState, now time.Time) {
	asOf := now.Add(-time.Duration(note.AgeMS) * time.Millisecond)
	switch {
	case note.Version == n.version() && n.configs.known:
		n.configs.fresh(asOf)
	case note.Version < n.version():
	case n.asksPeer(p, &n.configs):
		n.configs.behind = true
		n.fetchState(ctx, p.Address, now)
	default:
		n.configs.behind = true
	}
}

// observe hands readings to the dispatcher. Another instance may have a configuration with services that this one does not
// know yet; their readings are left out.
func (n *Node) observe(loads []loadNote) {
	if len(loads) == 0 {
		return
	}
	now := n.Now()
	for _, note := range loads {
		ref := n.byHash[note.Target]
		switch {
		case ref.target == nil:
		case note.PacePercent == 0:
			ref.readings.pool.MarkUnreachable(ref.id)
		default:
			ref.readings.readings = append(ref.readings.readings, dispatch.TargetLoad{Target: ref.target, LoadReport: toReading(note, now)})
		}
	}
	for _, c := range n.collected {
		if len(c.readings) > 0 {
			c.pool.UpdateLoad(c.readings)
			c.readings = c.readings[:0]
		}
	}
}
