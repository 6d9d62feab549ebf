package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idleCrossZoneInterval and busyCrossZoneInterval are the times between two datagrams to each other zone. Traffic
	// between zones is billed, and other zones need the load reports of this zone only when its targets are loaded.
	idleCrossZoneInterval = 200 * time.Millisecond
	busyCrossZoneInterval = 60 * time.Millisecond
	// largeCrossZoneInterval is the interval between large zones, which rarely need targets of other zones unless their own are
	// evacuated.
	largeCrossZoneInterval = 400 * time.Millisecond
	// busyThreshold is the number of in-flight requests per slot above which a zone counts as busy.
	busyThreshold = 0.45
)

func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// receiveDatagram decodes and dispatches a datagram. Claims, denials and messages about credits bypass the control loop, because
// requests wait for them.
func (n *Node) receiveDatagram(b []byte, from *net.UDPAddr) {
	d, err := decode(b)
	if err != nil {
		n.Log.Warn("Ignored a malformed datagram.", "from", from.String(), "error", err)
		return
	}
	n.traffic.received[kindOf(d)].add(1, len(b))
	switch {
	case (d.Claim != nil || d.Denial != nil || d.isCredit()) && n.mayHaveWaited(time.Now()):
		// The request that waits for it was sent long ago.
		n.traffic.staleDatagrams.Add(1)
	case d.Claim != nil:
		n.handleClaim(d.Claim, time.Duration(d.ClaimMS)*time.Millisecond, from)
	case d.Denial != nil:
		n.handleDenial(d.Denial)
	case d.isCredit():
		n.handleCredit(d, from)
	default:
		n.enqueue(datagramReceived{datagram: d, from: from.String(), receivedAt: time.Now()})
	}
}

// sendToAddress sends a datagram to an address in the form host:port.
func (n *Node) sendToAddress(address string, d *datagram) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		n.Log.Warn("Could not parse an address.", "address", address, "error", err)
		return
	}
	n.sendDatagram(d, net.UDPAddrFromAddrPort(to))
}

// sendDatagram sends a datagram to a list of addresses. Errors are only logged, because datagrams can be lost anyway.
func (n *Node) sendDatagram(d *datagram, addresses ...*net.UDPAddr) {
	if len(addresses) == 0 {
		return
	}
	b, err := encode(d)
	if err != nil {
		n.Log.Error("Could not encode a datagram.", "error", err)
		return
	}
	n.traffic.sent[kindOf(d)].add(len(addresses), len(b))
	n.link.send(b, addresses)
}

// addressesOf returns the addresses of peers.
func addressesOf(peers []*peerState) []*net.UDPAddr {
	addresses := make([]*net.UDPAddr, 0, len(peers))
	for _, p := range peers {
		addresses = append(addresses, p.udp)
	}
	return addresses
}

// newDatagram returns a datagram with the fields that every datagram of this instance carries.
func (n *Node) newDatagram(now time.Time) *datagram {
	d := &datagram{From: n.Self.ID, Started: n.Self.Started, Leader: n.isLeader, ZoneLive: n.liveInZone(now), MarksDigest: n.marksDigest()}
	if n.targetsTopic.IsFailing(now) {
		d.ZoneFailing = 1
	}
	if n.isLeader {
		d.ZoneFailing, d.FleetFailing = n.failingInZone, n.failingInFleet
	}
	if n.isLeader && n.instanceCountConverged(now) {
		d.FleetLive = n.instances
	}
	return d
}

// selfAnnouncement returns a datagram for instances that may not know this one.
func (n *Node) selfAnnouncement(now time.Time) *datagram {
	d := n.newDatagram(now)
	d.Self = &n.Self
	return d
}

// handleDatagram applies a datagram of a peer.
func (n *Node) handleDatagram(ctx context.Context, e datagramReceived, now time.Time) {
	d := e.datagram
	if d.From == n.Self.ID {
		n.handleOwnDatagram(d)
		return
	}
	if n.flush.active.Load() {
		n.traffic.staleDatagrams.Add(1)
		return
	}
	if d.Self != nil && n.members.add(*d.Self, now) {
		n.Log.Info("Learned of an instance.", "instance", d.From, "zone", d.Self.Zone, "address", d.Self.Address)
	}
	p := n.members.peers[d.From]
	switch {
	case p == nil:
		n.sendToAddress(e.from, n.newGreeting(now))
		return
	case d.Started < p.Started:
		return
	case d.Started > p.Started:
		// The known member is an earlier incarnation: it was announced in the store, or the instance restarted.
		p.Started, p.leaving, p.leaderClaimAt = d.Started, false, time.Time{}
	}
	p.lastHeard, p.leaving, p.unansweredGreetings = now, d.Leaving, 0
	n.noticeOwnerRestart(p)
	n.hearCreditOwner(d.CreditOwner, now)
	if d.Leaving {
		n.Log.Info("An instance is leaving.", "instance", d.From)
		n.creditOwnership.instanceLeft()
		return
	}
	p.zoneLive, p.zoneFailing = d.ZoneLive, d.ZoneFailing
	if p.Zone == n.Self.Zone && d.ZoneLive > 1+n.members.zonePeerCount() && now.Sub(p.lastGreeted) > heartbeatInterval {
		// The peer knows members of this zone that this instance does not know.
		p.lastGreeted = now
		n.sendDatagram(n.newGreeting(now), p.udp)
	}
	if d.Leader {
		n.applyLeaderUpdate(d, p, now)
	}
	if leader := n.members.zoneLeader(now); d.Leader && p.Zone != n.Self.Zone && !n.isLeader && leader != nil {
		// The leader of the other zone does not know the leader of this one yet. Forwarding its datagram makes this
		// zone's leader send to it.
		n.sendDatagram(d, leader.udp)
	}
	n.members.reportedZoneSize = max(n.members.reportedZoneSize, d.ZoneSize)
	n.addMembers(d.Members, now)
	if d.Greeting {
		n.answerGreeting(d, p, now)
	}
	n.learnDepartures(d.Departures, now)
	n.mergePeerMarks(d.Marks, p, now)
	n.fetchDifferingMarks(ctx, d.MarksDigest, p, now)
	n.applyUpdate(ctx, d, p, n.receptionOf(e, now), now)
}

// applyLeaderUpdate applies what only the leader of a zone reports.
func (n *Node) applyLeaderUpdate(d *datagram, p *peerState, now time.Time) {
	n.members.recordLeaderClaim(p, now)
	if p.Zone != n.Self.Zone {
		return
	}
	if len(d.ShardOwners) > 0 && !n.isLeader {
		n.shardOwners, n.shardsAssignedAt = d.ShardOwners, now
	}
	if len(d.ZoneLeaders) > 0 {
		n.reportedLeaders = d.ZoneLeaders
	}
	if len(d.Standbys) > 0 {
		n.members.reportedStandbys, n.members.standbysReportedAt = d.Standbys, now
	}
	n.members.reportedFailing = d.FleetFailing
	if d.FleetLive > 0 {
		n.members.fleetLive, n.members.zoneLive, n.members.fleetLiveAt = d.FleetLive, d.ZoneLive, now
	}
}

// sendToZone sends a datagram to the live peers of this zone. The leader and the standbys hear from all of them; the
// leader relays what the other instances send.
func (n *Node) sendToZone(d *datagram, now time.Time) {
	n.sendDatagram(d, addressesOf(n.members.liveZonePeers(now))...)
}

// broadcastUpdate sends to all zones how far this instance read the store. Without it the leaders of the other zones
// would read the store themselves.
func (n *Node) broadcastUpdate(now time.Time) {
	d := n.newDatagram(now)
	d.Targets, d.Config = n.targetsUpdate(now), n.configStatus(now)
	n.addCreditOwner(d)
	n.sendToZone(d, now)
	n.sendToOtherZones(d, now)
}

// sendToOtherZones sends a datagram to one member of each other zone, its leader if one is known.
func (n *Node) sendToOtherZones(d *datagram, now time.Time) {
	n.sendDatagram(d, addressesOf(n.members.remoteReceivers(now))...)
}

// sendHeartbeat sends the heartbeat of this instance to the leader and the standbys of its zone.
func (n *Node) sendHeartbeat(now time.Time) {
	if now.Sub(n.lastHeartbeat) < n.members.heartbeatPeriod() {
		return
	}
	n.lastHeartbeat = now
	d := n.selfAnnouncement(now)
	n.sendDatagram(d, addressesOf(n.members.heartbeatReceivers(now))...)
	n.greetSilentMembers(now)
}

// sendCrossZoneUpdate sends to the leaders of the other zones the load reports of this zone and how far the store was
// read.
func (n *Node) sendCrossZoneUpdate(now time.Time) {
	if !n.isLeader || now.Sub(n.lastCrossZoneSend) < n.crossZoneInterval() {
		return
	}
	n.lastCrossZoneSend = now
	d := n.newDatagram(now)
	d.Targets, d.Config, d.Cold = n.targetsUpdate(now), n.configStatus(now), n.coldReports()
	n.addCreditOwner(d)
	at := n.Now()
	for _, report := range n.pendingForOtherZones {
		d.Loads = append(d.Loads, report.withAge(at))
	}
	clear(n.pendingForOtherZones)
	n.sendToOtherZones(d, now)
}

// crossZoneInterval returns the time between two datagrams to each other zone.
func (n *Node) crossZoneInterval() time.Duration {
	switch {
	case n.evacuations.Any():
		return busyCrossZoneInterval
	case n.members.zonePeerCount() > largeZoneSize:
		return largeCrossZoneInterval
	case n.zoneBusy:
		return busyCrossZoneInterval
	}
	return idleCrossZoneInterval
}

// withAge returns the load report with its age at the given time since the start.
func (r timedLoadReport) withAge(at time.Duration) loadReport {
	report := r.report
	report.AgeMS = toAgeMS(at - r.at)
	return report
}

// toAgeMS converts an age to milliseconds, limited to the range of the wire format.
func toAgeMS(d time.Duration) uint16 { return uint16(min(max(d.Milliseconds(), 0), 1<<16-1)) }
