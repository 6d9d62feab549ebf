package fleet

import (
	"context"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
	"github.com/basillink/basillink/internal/storeread"
)

// applyUpdate applies what a peer read from the store and its load reports, and relays datagrams of other zones to this
// zone. receivedAt is when the datagram was read from the socket.
func (n *Node) applyUpdate(ctx context.Context, d *datagram, p *peerState, receivedAt, now time.Time) {
	n.applyColdReports(d, p, now)
	before, eraBefore := n.configVersion(), n.targetsTopic.Next.Era
	changed := d.Targets != nil && n.mergeTargetsUpdate(d.Targets, now)
	if n.targetsTopic.Behind && n.fetchesFrom(p, &n.targetsTopic, now) {
		n.fetchState(ctx, p.Address, now)
	}
	evacuated := d.Config != nil && d.Config.Evacuations != nil && n.applyEvacuationReport(d.Config.Evacuations, now)
	changed = changed || evacuated
	if changed {
		n.publishView(now)
	}
	if d.Config != nil {
		n.applyConfigStatus(ctx, d.Config, p, receivedAt, now)
	}
	n.observeLoads(d.Loads)
	if p.Zone == n.Self.Zone {
		n.queueForOtherZones(d)
		return
	}
	// The zone is told at once of evacuations and of a new era, before others of it read the store.
	if n.isLeader && !changed && !isNewer(d.Config, before) && n.targetsTopic.Next.Era == eraBefore {
		n.queueForZone(d.Loads)
		return
	}
	relay := n.newDatagram(now)
	n.addCreditOwner(relay)
	relay.Loads, relay.Targets, relay.Config = d.Loads, n.targetsUpdate(now), n.configStatus(now)
	n.sendToZone(relay, now)
}

// queueForOtherZones queues the load reports of another instance of this zone for the other zones, and for this zone if
// it has too many shards for direct reports.
func (n *Node) queueForOtherZones(d *datagram) {
	if !n.isLeader || d.Leader {
		return
	}
	at := n.Now()
	for _, report := range d.Loads {
		n.pendingForOtherZones[report.Target] = timedLoadReport{report, at - time.Duration(report.AgeMS)*time.Millisecond}
	}
	if len(n.shardOwners) > maxDirectShards {
		n.queueForZone(d.Loads)
	}
}

// fetchesFrom reports whether this instance fetches missing records of a topic from a peer. Leaders read the store
// themselves unless their reads fail: a partitioned leader would otherwise learn nothing until its next attempt. The listing of a
// newer era is fetched by leaders too.
func (n *Node) fetchesFrom(p *peerState, topic *storeread.Topic, now time.Time) bool {
	return n.awaitsListing(now) || topic.HasFailed() || n.targetsTopic.HasFailed() || p.Zone == n.Self.Zone && !n.isLeader
}

// isNewer reports whether a peer's configuration is newer than a version.
func isNewer(status *configStatus, version uint64) bool {
	return status != nil && status.Version > version
}

// configStatus returns the version of the configuration in force, 0 for none, or nil while that is unknown.
func (n *Node) configStatus(now time.Time) *configStatus {
	if !n.configsTopic.Known {
		return nil
	}
	return &configStatus{
		Version: n.configVersion(), AgeMS: now.Sub(n.configsTopic.AsOf).Milliseconds(), Answer: n.configsTopic.Answer,
		Evacuations: n.evacuations.Report(now),
	}
}

// configVersion returns the version of the configuration in force, 0 for none.
func (n *Node) configVersion() uint64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// queueForZone queues load reports of another instance for the next datagram to this zone.
func (n *Node) queueForZone(loads []loadReport) {
	at := n.Now()
	for _, report := range loads {
		n.pendingForZone = append(n.pendingForZone, timedLoadReport{report, at - time.Duration(report.AgeMS)*time.Millisecond})
	}
}

// addQueuedLoads moves the queued load reports of other instances into a datagram to this zone.
func (n *Node) addQueuedLoads(d *datagram, now time.Time) {
	at := n.Now()
	for _, report := range n.pendingForZone {
		d.Loads = append(d.Loads, report.withAge(at))
	}
	n.pendingForZone = n.pendingForZone[:0]
	n.lastRelay = now
}

// leaderInterval is the longest time between two datagrams of a leader to its zone. The next member takes over after
// leaderTimeout.
const leaderInterval = 100 * time.Millisecond

// sendLeaderHeartbeat claims leadership, relays queued load reports and tells the status of this instance if no round of probes did
// so lately, for example because the zone has no targets.
func (n *Node) sendLeaderHeartbeat(now time.Time) {
	if !n.isLeader || now.Sub(n.lastRelay) < leaderInterval {
		return
	}
	d := n.newDatagram(now)
	n.addQueuedLoads(d, now)
	n.addStatus(d, now)
	n.addStandbys(d, now)
	n.sendToZone(d, now)
}

// standbysInterval is how often the leader of a zone reports its standbys, in zones where not all members are standbys.
const standbysInterval = time.Second

// addStandbys adds the standbys of this zone to a datagram of its leader when they are due.
func (n *Node) addStandbys(d *datagram, now time.Time) {
	if now.Sub(n.lastStandbysSent) >= standbysInterval && n.members.zonePeerCount() > maxStandbys {
		n.lastStandbysSent = now
		d.Standbys = n.members.standbyIDs(now)
	}
}

// applyConfigStatus compares the configuration of a peer with that of this instance. A newer one is fetched from the
// peer if it is in the same zone, where traffic is free, and otherwise read from the store.
func (n *Node) applyConfigStatus(ctx context.Context, status *configStatus, p *peerState, receivedAt, now time.Time) {
	asOf := receivedAt.Add(-max(time.Duration(status.AgeMS)*time.Millisecond, 0))
	switch {
	case status.Version == n.configVersion() && n.configsTopic.Known:
		if n.reportsCurrentEvacuations(status) {
			n.configsTopic.Refresh(asOf, status.Answer)
		}
	case status.Version < n.configVersion():
		return
	case n.fetchesFrom(p, &n.configsTopic, now):
		n.configsTopic.Behind = true
		n.fetchState(ctx, p.Address, now)
	default:
		n.configsTopic.Behind = true
	}
	if status.Version > n.configVersion() {
		n.newerConfig.tell(status.Version, p.Address, now)
	}
}

// observeLoads passes load reports to the dispatcher. Reports of services that are missing in this instance's
// configuration are ignored: the sender may have a newer one.
func (n *Node) observeLoads(loads []loadReport) {
	if len(loads) == 0 {
		return
	}
	now := n.Now()
	for _, report := range loads {
		ref := n.targetsByHash[report.Target]
		switch {
		case ref.target == nil:
			n.observeEvacuated(report, now)
		case report.SlowdownPercent == 0:
			ref.batch.pool.MarkUnreachable(ref.id)
		default:
			ref.batch.observations = append(ref.batch.observations, dispatch.TargetLoad{Target: ref.target, LoadReport: toDispatchReport(report, now)})
		}
	}
	for _, b := range n.batches {
		if len(b.observations) > 0 {
			b.pool.UpdateLoad(b.observations)
			b.observations = b.observations[:0]
		}
	}
}
