package fleet

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// heartbeatInterval is how often an instance tells the council of its zone that it lives.
	heartbeatInterval = 500 * time.Millisecond
	// largeZone is the number of members beyond which a zone counts as large, and largeZoneHeartbeat the heartbeat there.
	largeZone          = 10
	largeZoneHeartbeat = 1200 * time.Millisecond
	// liveFor is how long a member counts as live after its last datagram.
	liveFor = 2600 * time.Millisecond
	// forgetAfter is how long a silent member is remembered.
	forgetAfter = 10 * time.Minute
)

// precedes reports whether a member takes on work for its zone before another one: the stronger first, then by id.
func precedes(a, b discovery.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return a.ID < b.ID
}

// peerState is what is known of another instance.
type peerState struct {
	discovery.Member
	// udp is the address.
	udp *net.UDPAddr
	// learnt is when the member was first told of.
	learnt time.Time
	// heard is when its last datagram arrived, zero if none did.
	heard time.Time
	// readerAt is when it last claimed to be the reader of its zone.
	readerAt time.Time
	// live is the number of live instances that it reported for its zone, and failing how many of that zone try to read the
	// store in vain.
	live    int
	failing int
	leaving bool
	// assigned is when it was given a part of the targets to read, and skipUntil until when it is given none.
	assigned, skipUntil time.Time
	// greeted is when it was last sent a greeting, and greetings how many it was sent without an answer.
	greeted   time.Time
	greetings int
	// marksDiffer is since when it has crash marks that this instance lacks, zero if it has none.
	marksDiffer time.Time
}

// isLive reports whether a peer was heard lately.
func (p *peerState) isLive(now time.Time) bool {
	return !p.leaving && !p.heard.IsZero() && now.Sub(p.heard) < liveFor
}

// givenUp reports whether a peer left, or is silent and did not answer greetings.
func (p *peerState) givenUp(now time.Time) bool {
	return p.leaving || !p.isLive(now) && p.greetings >= maxGreetings
}

// members is the table of known instances. It is not safe for concurrent use. The lists are kept in order when a member
// comes or goes, so that a datagram costs no sorting.
type members struct {
	self  discovery.Member
	peers map[string]*peerState
	// zone are the known members of this zone, and remote those of each other zone, in order of precedence.
	zone   []*peerState
	remote map[string][]*peerState
	// lastReader is the peer of this zone that claimed last to be its reader.
	lastReader *peerState
	// fleet and zoneLive are the numbers of live instances in all zones and in this one that the reader of this zone told
	// at fleetAt.
	fleet, zoneLive int
	fleetAt         time.Time
	// toldSize is the largest number of members of this zone that another instance said to know.
	toldSize int
	// toldFailing is the number of instances that try to read the store in vain, as the reader of this zone told.
	toldFailing int
	// wasReader is true when this instance is announced as a reader by an earlier incarnation.
	wasReader bool
	// told are the ids of the council that the reader of this zone told at toldAt.
	told   []string
	toldAt time.Time
}

func newMembers(self discovery.Member) *members {
	return &members{self: self, peers: map[string]*peerState{}, remote: map[string][]*peerState{}}
}

// zoneSize is the number of known members of this zone besides this instance.
func (m *members) zoneSize() int { return len(m.zone) }

// sizeOf is the number of known members of any zone, this instance included.
func (m *members) sizeOf(zone string) int {
	if zone == m.self.Zone {
		return 1 + len(m.zone)
	}
	return len(m.remote[zone])
}

// learn adds a member, or a later incarnation of one. It reports whether it is new.
func (m *members) learn(member discovery.Member, now time.Time) bool {
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
		m.unlist(known)
	}
	p := &peerState{Member: member, udp: net.UDPAddrFromAddrPort(address), learnt: now}
	m.peers[member.ID] = p
	m.list(p)
	return true
}

// list adds a member to the list of its zone.
func (m *members) list(p *peerState) {
	if p.Zone == m.self.Zone {
		m.zone = insertByPrecedence(m.zone, p)
		return
	}
	m.remote[p.Zone] = insertByPrecedence(m.remote[p.Zone], p)
}

func insertByPrecedence(list []*peerState, p *peerState) []*peerState {
	at := slices.IndexFunc(list, func(other *peerState) bool { return precedes(p.Member, other.Member) })
	if at < 0 {
		return append(list, p)
	}
	return slices.Insert(list, at, p)
}

// unlist removes a member from the list of its zone.
func (m *members) unlist(p *peerState) {
	same := func(other *peerState) bool { return other == p }
	if m.lastReader == p {
		m.lastReader = nil
	}
	if p.Zone == m.self.Zone {
		m.zone = slices.DeleteFunc(m.zone, same)
		return
	}
	if m.remote[p.Zone] = slices.DeleteFunc(m.remote[p.Zone], same); len(m.remote[p.Zone]) == 0 {
		delete(m.remote, p.Zone)
	}
}

// age makes what was heard older.
func (m *members) age(by time.Duration) {
	m.fleetAt, m.toldAt = m.fleetAt.Add(-by), m.toldAt.Add(-by)
	for _, p := range m.peers {
		p.heard, p.readerAt = p.heard.Add(-by), p.readerAt.Add(-by)
	}
}

// forget removes members that have been silent for long.
func (m *members) forget(now time.Time) {
	for id, p := range m.peers {
		if now.Sub(p.heard) > forgetAfter && now.Sub(p.learnt) > forgetAfter {
			m.unlist(p)
			delete(m.peers, id)
		}
	}
}

// noteReader notes that a peer of this zone claims to be its reader.
func (m *members) noteReader(p *peerState, now time.Time) {
	p.readerAt = now
	if p.Zone == m.self.Zone {
		m.lastReader = p
	}
}

// zonePeers returns the live peers of this zone in order of precedence.
func (m *members) zonePeers(now time.Time) []*peerState { return live(m.zone, now) }

func live(list []*peerState, now time.Time) []*peerState {
	peers := make([]*peerState, 0, len(list))
	for _, p := range list {
		if p.isLive(now) {
			peers = append(peers, p)
		}
	}
	return peers
}

// isolated reports whether no other instance is heard.
func (m *members) isolated(now time.Time) bool {
	for _, p := range m.peers {
		if p.isLive(now) {
			return false
		}
	}
	return true
}

// heartbeatEvery is how often an instance tells its zone that it lives. In large zones that is less often, because the
// council hears all others.
func (m *members) heartbeatEvery() time.Duration {
	if m.zoneSize() > largeZone {
		return largeZoneHeartbeat
	}
	return heartbeatInterval
}

// remoteReaders returns for each other zone the instance to send to: the one that claimed last to be its reader, or any
// live one.
func (m *members) remoteReaders(now time.Time) []*peerState {
	readers := make([]*peerState, 0, len(m.remote))
	for _, list := range m.remote {
		if p := latestReader(list, now, unbounded); p != nil {
			readers = append(readers, p)
		}
	}
	return readers
}

// unbounded accepts claims of any age.
const unbounded = time.Duration(1<<63 - 1)

// rank orders the instances that may read the store: readers of zones first, by zone, then the others in turn from each
// zone.
func (m *members) rank(now time.Time, reader bool) int {
	before := 0
	for zone := range m.remote {
		if zone < m.self.Zone && (!reader || m.hears(zone, now)) {
			before++
		}
	}
	if reader {
		return before
	}
	return (1+len(m.remote))*(1+m.order(now)) + before
}

// hears reports whether a member of another zone is live.
func (m *members) hears(zone string, now time.Time) bool {
	return slices.ContainsFunc(m.remote[zone], func(p *peerState) bool { return p.isLive(now) })
}

// introductions returns the members that an instance of a zone needs to find the others: those that come first in its
// zone, or all of them, and some of each other zone. This instance is included.
func (m *members) introductions(zone string, whole bool) []discovery.Member {
	list := []discovery.Member{m.self}
	add := func(peers []*peerState, most int) {
		for _, p := range peers {
			if most > 0 && !p.leaving {
				list = append(list, p.Member)
				most--
			}
		}
	}
	most := func(other string) int {
		switch {
		case other != zone:
			return remoteGreetings
		case whole:
			return len(m.peers)
		}
		return councilSize
	}
	add(m.zone, most(m.self.Zone))
	for other, peers := range m.remote {
		add(peers, most(other))
	}
	return list
}
