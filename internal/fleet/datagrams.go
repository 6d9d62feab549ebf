package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// calmCrossInterval and busyCrossInterval are the times between two datagrams to each other zone. Bytes between zones
	// are paid for, and readings of this zone matter to others when its targets are filled.
	calmCrossInterval = 200 * time.Millisecond
	busyCrossInterval = 60 * time.Millisecond
	// largeCrossInterval is that time between large zones, which have targets enough of their own.
	largeCrossInterval = 400 * time.Millisecond
	// busyShare is the share of its slots from which on a zone is busy.
	busyShare = 0.45
)

func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// take decodes a datagram. Claims are waited for, so that they pass the control loop by.
func (n *Node) take(b []byte, from *net.UDPAddr) {
	d, err := decode(b)
	if err != nil {
		n.Log.Warn("Ignored a datagram.", "from", from.String(), "error", err)
		return
	}
	n.traffic.received[kindOf(d)].count(1, len(b))
	switch {
	case d.Claim != nil:
		n.takeClaim(d.Claim, from)
	case d.Denial != nil:
		n.takeDenial(d.Denial)
	default:
		n.post(received{datagram: d, from: from.String()})
	}
}

// send sends a datagram to an address.
func (n *Node) send(address string, d *datagram) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		n.Log.Warn("Could not read an address.", "address", address, "error", err)
		return
	}
	n.sendAll(d, net.UDPAddrFromAddrPort(to))
}

// sendAll sends a datagram to addresses. Datagrams may be lost, so that errors only show up in the log.
func (n *Node) sendAll(d *datagram, addresses ...*net.UDPAddr) {
	if len(addresses) == 0 {
		return
	}
	b, err := encode(d)
	if err != nil {
		n.Log.Error("Could not encode a datagram.", "error", err)
		return
	}
	n.traffic.sent[kindOf(d)].count(len(addresses), len(b))
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

func (n *Node) base(now time.Time) *datagram {
	d := &datagram{From: n.Self.ID, Started: n.Self.Started, Reader: n.reader, Live: n.liveInZone(now), MarksDigest: n.marksDigest()}
	if n.targets.failing(now) {
		d.Failing = 1
	}
	if n.reader {
		d.Failing, d.FailingAll = n.zoneFailing, n.failing
	}
	if n.reader && n.settled(now) {
		d.Fleet = n.instances
	}
	return d
}

// introduction is a datagram to instances that may not know this one.
func (n *Node) introduction(now time.Time) *datagram {
	d := n.base(now)
	d.Self = &n.Self
	return d
}

// handleDatagram takes over what a peer told.
func (n *Node) handleDatagram(ctx context.Context, e received, now time.Time) {
	d := e.datagram
	if d.From == n.Self.ID {
		return
	}
	if d.Self != nil && n.members.learn(*d.Self, now) {
		n.Log.Info("Met an instance.", "instance", d.From, "zone", d.Self.Zone, "address", d.Self.Address)
	}
	p := n.members.peers[d.From]
	switch {
	case p == nil:
		n.send(e.from, n.greeting(now))
		return
	case d.Started < p.Started:
		return
	case d.Started > p.Started:
		// The member was announced by an earlier incarnation, or started again at the same address.
		p.Started, p.leaving, p.readerAt = d.Started, false, time.Time{}
	}
	p.heard, p.leaving, p.greetings = now, d.Leaving, 0
	if d.Leaving {
		n.Log.Info("An instance leaves.", "instance", d.From)
		return
	}
	p.live, p.failing = d.Live, d.Failing
	if p.Zone == n.Self.Zone && d.Live > 1+n.members.zoneSize() && now.Sub(p.greeted) > heartbeatInterval {
		// The peer hears members of this zone that this instance does not know.
		p.greeted = now
		n.sendAll(n.greeting(now), p.udp)
	}
	if d.Reader {
		n.takeReader(d, p, now)
	}
	if reader := n.members.zoneReader(now); d.Reader && p.Zone != n.Self.Zone && !n.reader && reader != nil {
		// The reader of another zone does not know yet who reads this one. After this it hears from it.
		n.sendAll(d, reader.udp)
	}
	n.members.toldSize = max(n.members.toldSize, d.ZoneSize)
	n.meet(d.Members, now)
	if d.Greeting {
		n.answerGreeting(d, p, now)
	}
	n.takeMarks(d.Marks, p, now)
	n.compareMarks(ctx, d.MarksDigest, p, now)
	n.takeNews(ctx, d, p, now)
}

// takeReader takes over what the reader of a zone tells of the zone.
func (n *Node) takeReader(d *datagram, p *peerState, now time.Time) {
	n.members.noteReader(p, now)
	if p.Zone != n.Self.Zone {
		return
	}
	if len(d.Parts) > 0 && !n.reader {
		n.parts, n.partsAt = d.Parts, now
	}
	if len(d.Readers) > 0 {
		n.toldReaders = d.Readers
	}
	if len(d.Council) > 0 {
		n.members.told, n.members.toldAt = d.Council, now
	}
	n.members.toldFailing = d.FailingAll
	if d.Fleet > 0 {
		n.members.fleet, n.members.zoneLive, n.members.fleetAt = d.Fleet, d.Live, now
	}
}

// tellZone sends a datagram to the members of this zone that this instance hears. The reader and the council hear all of
// them; what others tell, the reader passes on.
func (n *Node) tellZone(d *datagram, now time.Time) {
	n.sendAll(d, addressesOf(n.members.zonePeers(now))...)
}

// tellNews tells this zone and the others how far the store was read by this instance. The readers of the other zones would
// read it themselves if they were not told at once.
func (n *Node) tellNews(now time.Time) {
	d := n.base(now)
	d.Targets, d.Config = n.targetsNote(now), n.configNote(now)
	n.tellZone(d, now)
	n.tellZones(d, now)
}

// tellZones sends a datagram to the readers of the other zones.
func (n *Node) tellZones(d *datagram, now time.Time) {
	n.sendAll(d, addressesOf(n.members.remoteReaders(now))...)
}

// sendHeartbeat tells the council of the zone that this instance lives.
func (n *Node) sendHeartbeat(now time.Time) {
	if now.Sub(n.heartbeat) < n.members.heartbeatEvery() {
		return
	}
	n.heartbeat = now
	d := n.introduction(now)
	n.sendAll(d, addressesOf(n.members.council(now))...)
	n.greet(now)
}

// sendAcross tells the readers of the other zones the readings of this zone and how far the store was read.
func (n *Node) sendAcross(now time.Time) {
	if !n.reader || now.Sub(n.crossAt) < n.crossInterval() {
		return
	}
	n.crossAt = now
	d := n.base(now)
	d.Targets, d.Config = n.targetsNote(now), n.configNote(now)
	at := n.Now()
	for _, sample := range n.pending {
		d.Loads = append(d.Loads, sample.aged(at))
	}
	clear(n.pending)
	n.tellZones(d, now)
}

// crossInterval is the time between two datagrams to each other zone.
func (n *Node) crossInterval() time.Duration {
	switch {
	case n.members.zoneSize() > largeZone:
		return largeCrossInterval
	case n.busy:
		return busyCrossInterval
	}
	return calmCrossInterval
}

// aged returns the note of a sample with its age at a time.
func (s loadSample) aged(at time.Duration) loadNote {
	note := s.note
	note.AgeMS = ageMS(at - s.at)
	return note
}

func ageMS(d time.Duration) uint16 { return uint16(min(max(d.Milliseconds(), 0), 1<<16-1)) }
