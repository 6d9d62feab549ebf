package fleet

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// heartbeatInterval is how often an instance sends a heartbeat to the leader and the standbys of its zone.
	heartbeatInterval = 500 * time.Millisecond
	// largeZoneSize is the number of members above which a zone counts as large, and largeZoneHeartbeatInterval is the
	// heartbeat interval there.
	largeZoneSize              = 10
	largeZoneHeartbeatInterval = 1200 * time.Millisecond
	// livenessTimeout is how long a member counts as live after its last datagram.
	livenessTimeout = 2600 * time.Millisecond
	// forgetAfter is how long a silent member is kept in the table.
	forgetAfter = 10 * time.Minute
)

// precedes reports whether a member takes on work for its zone before another one: the one with more capacity first,
// then by id.
func precedes(a, b discovery.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return a.ID < b.ID
}

// peerState is the state of another instance, as this one knows it.
type peerState struct {
	discovery.Member
	// udp is the parsed Address.
	udp *net.UDPAddr
	// addedAt is when the member was added to the table.
	addedAt time.Time
	// lastHeard is when its last datagram arrived, zero if none did.
	lastHeard time.Time
	// leaderClaimAt is when it last claimed to be the leader of its zone, zero if it never did.
	leaderClaimAt time.Time
	// zoneLive is the number of live instances that it reported for its zone, and zoneFailing is how many of those it
	// reported as failing to read the store.
	zoneLive    int
	zoneFailing int
	leaving     bool
	// assignedAt is when it was assigned a shard, and excludedUntil is until when it is assigned none.
	assignedAt, excludedUntil time.Time
	// lastGreeted is when it was last sent a greeting. unansweredGreetings counts the greetings since its last
	// datagram.
	lastGreeted         time.Time
	unansweredGreetings int
	// marksDifferSince is since when its crash marks differ from those of this instance, zero if they do not.
	marksDifferSince time.Time
}

// isLive reports whether the peer was heard from within livenessTimeout and is not leaving.
func (p *peerState) isLive(now time.Time) bool {
	return !p.leaving && !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < livenessTimeout
}

// isGone reports whether the peer is leaving, or is silent and did not answer maxGreetings greetings.
func (p *peerState) isGone(now time.Time) bool {
	return p.leaving || !p.isLive(now) && p.unansweredGreetings >= maxGreetings
}

// members is the table of known instances. It is not safe for concurrent use. The lists are sorted when a member is
// added, so that datagrams need no sorting.
type members struct {
	self  discovery.Member
	peers map[string]*peerState
	// zonePeers holds the known members of this zone, and remotePeers those of each other zone, both in order of
	// precedence. This instance is not among them.
	zonePeers   []*peerState
	remotePeers map[string][]*peerState
	// lastLeader is the peer of this zone that claimed leadership last.
	lastLeader *peerState
	// fleetLive and zoneLive are the numbers of live instances in all zones and in this one that the leader of this
	// zone reported at fleetLiveAt.
	fleetLive, zoneLive int
	fleetLiveAt         time.Time
	// reportedZoneSize is the largest number of members of this zone that another instance reported.
	reportedZoneSize int
	// reportedFailing is the number of instances whose reads of the store fail, as reported by the leader of this zone.
	reportedFailing int
	// wasLeader is true when an earlier incarnation of this instance is announced as a leader.
	wasLeader bool
	// reportedStandbys are the ids of the standbys that the leader of this zone reported at standbysReportedAt.
	reportedStandbys   []string
	standbysReportedAt time.Time
}

func newMembers(self discovery.Member) *members {
	return &members{self: self, peers: map[string]*peerState{}, remotePeers: map[string][]*peerState{}}
}

// zonePeerCount returns the number of known members of this zone besides this instance.
func (m *members) zonePeerCount() int { return len(m.zonePeers) }

// zoneSize returns the number of known members of any zone, this instance included.
func (m *members) zoneSize(zone string) int {
	if zone == m.self.Zone {
		return 1 + len(m.zonePeers)
	}
	return len(m.remotePeers[zone])
}

// add adds a member, or replaces an earlier incarnation of it. It reports whether it did: a member that is already
// known, is this instance itself or has an invalid address is ignored.
func (m *members) add(member discovery.Member, now time.Time) bool {
	if member.ID == m.self.ID || member.Address == m.self.Address || member.Address == "" {
		return false
	}
	known := m.peers[member.ID]
	if known != nil && known.Started >= member.Started {
		return false
	}
	address, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		return false
	}
	if known != nil {
		m.removeFromZone(known)
	}
	p := &peerState{Member: member, udp: net.UDPAddrFromAddrPort(address), addedAt: now}
	m.peers[member.ID] = p
	m.insertIntoZone(p)
	return true
}

// insertIntoZone inserts a member into the list of its zone.
func (m *members) insertIntoZone(p *peerState) {
	if p.Zone == m.self.Zone {
		m.zonePeers = insertByPrecedence(m.zonePeers, p)
		return
	}
	m.remotePeers[p.Zone] = insertByPrecedence(m.remotePeers[p.Zone], p)
}

func insertByPrecedence(list []*peerState, p *peerState) []*peerState {
	at := slices.IndexFunc(list, func(other *peerState) bool { return precedes(p.Member, other.Member) })
	if at < 0 {
		return append(list, p)
	}
	return slices.Insert(list, at, p)
}

// removeFromZone removes a member from the list of its zone, but not from m.peers.
func (m *members) removeFromZone(p *peerState) {
	same := func(other *peerState) bool { return other == p }
	if m.lastLeader == p {
		m.lastLeader = nil
	}
	if p.Zone == m.self.Zone {
		m.zonePeers = slices.DeleteFunc(m.zonePeers, same)
		return
	}
	if m.remotePeers[p.Zone] = slices.DeleteFunc(m.remotePeers[p.Zone], same); len(m.remotePeers[p.Zone]) == 0 {
		delete(m.remotePeers, p.Zone)
	}
}

// backdate moves the times at which peers were heard from back.
func (m *members) backdate(by time.Duration) {
	m.fleetLiveAt, m.standbysReportedAt = m.fleetLiveAt.Add(-by), m.standbysReportedAt.Add(-by)
	for _, p := range m.peers {
		p.lastHeard, p.leaderClaimAt = p.lastHeard.Add(-by), p.leaderClaimAt.Add(-by)
	}
}

// forgetSilent removes the members that have been silent for forgetAfter.
func (m *members) forgetSilent(now time.Time) {
	for id, p := range m.peers {
		if now.Sub(p.lastHeard) > forgetAfter && now.Sub(p.addedAt) > forgetAfter {
			m.removeFromZone(p)
			delete(m.peers, id)
		}
	}
}

// recordLeaderClaim records that a peer claims to be the leader of its zone.
func (m *members) recordLeaderClaim(p *peerState, now time.Time) {
	p.leaderClaimAt = now
	if p.Zone == m.self.Zone {
		m.lastLeader = p
	}
}

// liveZonePeers returns the live peers of this zone in order of precedence.
func (m *members) liveZonePeers(now time.Time) []*peerState { return livePeers(m.zonePeers, now) }

func livePeers(list []*peerState, now time.Time) []*peerState {
	peers := make([]*peerState, 0, len(list))
	for _, p := range list {
		if p.isLive(now) {
			peers = append(peers, p)
		}
	}
	return peers
}

// isolated reports whether no other instance is live.
func (m *members) isolated(now time.Time) bool {
	for _, p := range m.peers {
		if p.isLive(now) {
			return false
		}
	}
	return true
}

// heartbeatPeriod returns the heartbeat interval of this instance. It is longer in large zones, where the leader and
// the standbys receive the heartbeats of many members.
func (m *members) heartbeatPeriod() time.Duration {
	if m.zonePeerCount() > largeZoneSize {
		return largeZoneHeartbeatInterval
	}
	return heartbeatInterval
}

// remoteLeaders returns for each other zone the live member that claimed leadership last, however long ago.
func (m *members) remoteLeaders(now time.Time) []*peerState {
	leaders := make([]*peerState, 0, len(m.remotePeers))
	for _, list := range m.remotePeers {
		if p := latestLeader(list, now, anyAge); p != nil {
			leaders = append(leaders, p)
		}
	}
	return leaders
}

// remoteReceivers returns for each other zone the member that receives what this one reports: its leader or, if none has claimed
// leadership, its first live member. Leaders that start at the same time would otherwise each wait for the claim of the other.
func (m *members) remoteReceivers(now time.Time) []*peerState {
	receivers := make([]*peerState, 0, len(m.remotePeers))
	for _, list := range m.remotePeers {
		p := latestLeader(list, now, anyAge)
		if live := livePeers(list, now); p == nil && len(live) > 0 {
			p = live[0]
		}
		if p != nil {
			receivers = append(receivers, p)
		}
	}
	return receivers
}

// anyAge makes latestLeader accept claims of any age.
const anyAge = time.Duration(1<<63 - 1)

// readRank returns the number of instances that read the store before this one: the leaders come first, ordered by
// zone, then the other members, alternating between the zones.
func (m *members) readRank(now time.Time, isLeader bool) int {
	before := 0
	for zone := range m.remotePeers {
		if zone < m.self.Zone && (!isLeader || m.hasLivePeer(zone, now)) {
			before++
		}
	}
	if isLeader {
		return before
	}
	return (1+len(m.remotePeers))*(1+m.successionRank(now)) + before
}

// hasLivePeer reports whether any member of another zone is live.
func (m *members) hasLivePeer(zone string, now time.Time) bool {
	return slices.ContainsFunc(m.remotePeers[zone], func(p *peerState) bool { return p.isLive(now) })
}

// membersToIntroduce returns the members that an instance of a zone needs to find the others: the first members of its
// zone, or all if wholeZone is true, and a few of each other zone. This instance is included.
func (m *members) membersToIntroduce(zone string, wholeZone bool) []discovery.Member {
	list := []discovery.Member{m.self}
	add := func(peers []*peerState, limit int) {
		for _, p := range peers {
			if limit > 0 && !p.leaving {
				list = append(list, p.Member)
				limit--
			}
		}
	}
	limit := func(other string) int {
		switch {
		case other != zone:
			return maxRemoteGreetings
		case wholeZone:
			return len(m.peers)
		}
		return maxStandbys
	}
	add(m.zonePeers, limit(m.self.Zone))
	for other, peers := range m.remotePeers {
		add(peers, limit(other))
	}
	return list
}
