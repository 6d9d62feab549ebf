package fleet

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// heartbeatInterval is how often an instance tells those of its zone that it lives.
	heartbeatInterval = 500 * time.Millisecond
	// largeZone is the number of members beyond which a zone counts as large, and largeZoneHeartbeat the heartbeat there.
	largeZone          = 10
	largeZoneHeartbeat = 1200 * time.Millisecond
	// liveFor is how long a member counts as live after its last datagram.
	liveFor = 2600 * time.Millisecond
	// readerSilence is how long the reader of the zone may be silent before the next member takes over, and
	// successionStep the further wait of each member behind that one.
	readerSilence  = 160 * time.Millisecond
	successionStep = 60 * time.Millisecond
	// startSilence is how long instances of large zones wait after their start.
	startSilence = 200 * time.Millisecond
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
	// udp is the address, nil if it cannot be resolved.
	udp *net.UDPAddr
	// heard is when its last datagram arrived, zero if none did.
	heard time.Time
	// readerAt is when it last claimed to be the reader of its zone.
	readerAt time.Time
	// live is the number of live instances that it reported for its zone.
	live    int
	leaving bool
	// assigned is when it was given a part of the targets to read, and skipUntil until when it is given none.
	assigned, skipUntil time.Time
	// greeted is when it was last sent a greeting, and greetings how many it was sent without an answer.
	greeted   time.Time
	greetings int
}

// members is the table of known instances. It is not safe for concurrent use.
type members struct {
	self  discovery.Member
	peers map[string]*peerState
	// zoneSize is the number of known members of this zone.
	zoneSize int
	// fleet is the number of live instances that the reader of this zone told at fleetAt.
	fleet   int
	fleetAt time.Time
}

func newMembers(self discovery.Member) *members {
	return &members{self: self, peers: map[string]*peerState{}}
}

// learn adds a member, or a later incarnation of one. It reports whether it is new.
func (m *members) learn(member discovery.Member) bool {
	if member.ID == m.self.ID || member.Address == m.self.Address || member.Address == "" {
		return false
	}
	known := m.peers[member.ID]
	if known != nil && known.Started >= member.Started {
		return false
	}
	if known == nil && member.Zone == m.self.Zone {
		m.zoneSize++
	}
	address, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		return false
	}
	m.peers[member.ID] = &peerState{Member: member, udp: net.UDPAddrFromAddrPort(address)}
	return true
}

// isLive reports whether a peer was heard lately.
func (p *peerState) isLive(now time.Time) bool {
	return !p.leaving && !p.heard.IsZero() && now.Sub(p.heard) < liveFor
}

// zonePeers returns the live peers of this zone, ordered by id.
func (m *members) zonePeers(now time.Time) []*peerState {
	return m.livePeers(now, func(p *peerState) bool { return p.Zone == m.self.Zone })
}

func (m *members) livePeers(now time.Time, match func(*peerState) bool) []*peerState {
	var peers []*peerState
	for _, p := range m.peers {
		if p.isLive(now) && match(p) {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peerState) int { return strings.Compare(a.ID, b.ID) })
	return peers
}

// order is the number of live peers of this zone that come before this instance.
func (m *members) order(now time.Time) int {
	before := 0
	for _, p := range m.zonePeers(now) {
		if precedes(p.Member, m.self) {
			before++
		}
	}
	return before
}

// knownOrder is the number of known members of this zone that come before this instance, heard or not.
func (m *members) knownOrder() int {
	before := 0
	for _, p := range m.peers {
		if p.Zone == m.self.Zone && !p.leaving && precedes(p.Member, m.self) {
			before++
		}
	}
	return before
}

const (
	// targetsPerCapacity is how many targets an instance with a capacity of 1, a whole core, reads before another one of
	// the zone takes a part of them. A reading costs about 0.1 ms of processor time with all that belongs to it.
	targetsPerCapacity = 64
	// CapacityUnit is the capacity of a whole core between instances, and leastCapacity what each instance can do.
	CapacityUnit  = 1000
	leastCapacity = 50
	// partSilence is how long an instance that reads a part may be silent before its part goes to another one, and
	// partPause how long it is then left out.
	partSilence = 400 * time.Millisecond
	partPause   = 3 * time.Second
)

// share is the part of the zone's targets that an instance reads: those whose hash leaves a remainder.
type share struct{ part, parts int }

// includes reports whether a target belongs to the share.
func (s share) includes(hash uint32) bool { return s.parts > 0 && int(hash%uint32(s.parts)) == s.part }

// assignParts returns the instances that read the targets of this zone, as many as the targets need: this one, its
// reader, and the next ones that are heard. One that was assigned before and fell silent is left out for a while.
func (m *members) assignParts(now time.Time, targets int, before []string) []string {
	parts := []string{m.self.ID}
	for _, p := range m.zonePeers(now) {
		if slices.Contains(before, p.ID) && now.Sub(p.heard) > partSilence && now.Sub(p.assigned) > partSilence {
			p.skipUntil = now.Add(partPause)
		}
	}
	room := readable(m.self)
	for _, p := range m.byPrecedence(now) {
		if room >= targets {
			break
		}
		if now.Before(p.skipUntil) {
			continue
		}
		if !slices.Contains(before, p.ID) {
			p.assigned = now
		}
		parts = append(parts, p.ID)
		room += readable(p.Member)
	}
	return parts
}

// readable is the number of targets that a member can read.
func readable(m discovery.Member) int {
	return max(m.Capacity, leastCapacity) * targetsPerCapacity / CapacityUnit
}

// byPrecedence returns the live peers of this zone, those first that take on work before the others.
func (m *members) byPrecedence(now time.Time) []*peerState {
	peers := m.zonePeers(now)
	slices.SortStableFunc(peers, func(a, b *peerState) int {
		if precedes(a.Member, b.Member) {
			return -1
		}
		return 1
	})
	return peers
}

// readsZone reports whether this instance reads the load of its zone: no earlier member has claimed that lately. After a
// start nobody has, so that the first readings come at once even when all instances start together. In
// large zones the instances wait for their turn, because readings by all of them would flood the zone.
func (m *members) readsZone(now, started time.Time) bool {
	limit := readerSilence + time.Duration(m.order(now))*successionStep
	if m.zoneSize > largeZone && now.Sub(started) < startSilence+time.Duration(min(m.knownOrder(), largeZone))*successionStep {
		return false
	}
	for _, p := range m.peers {
		if p.Zone == m.self.Zone && !p.leaving && precedes(p.Member, m.self) && now.Sub(p.readerAt) < limit {
			return false
		}
	}
	return true
}

// zoneReader returns the peer of this zone that claimed last to be its reader, or nil.
func (m *members) zoneReader(now time.Time) *peerState {
	var best *peerState
	for _, p := range m.zonePeers(now) {
		if now.Sub(p.readerAt) < liveFor && (best == nil || p.readerAt.After(best.readerAt)) {
			best = p
		}
	}
	return best
}

// missing is how many times more members of this zone were heard in the last half minute than are heard now. The others
// may be cut off from this instance and read the same targets.
func (m *members) missing(now time.Time) float64 {
	live, recent := 1, 1
	for _, p := range m.peers {
		if p.Zone != m.self.Zone || p.leaving || now.Sub(p.heard) > missingFor {
			continue
		}
		recent++
		if p.isLive(now) {
			live++
		}
	}
	return float64(recent) / float64(live)
}

// missingFor is how long a silent member counts as one that may be cut off.
const missingFor = 30 * time.Second

// heartbeatEvery is how often an instance tells its zone that it lives. In large zones that is less often, because each
// instance hears all others.
func (m *members) heartbeatEvery() time.Duration {
	if m.zoneSize > largeZone {
		return largeZoneHeartbeat
	}
	return heartbeatInterval
}

// remoteReaders returns for each other zone the instance to send to: the one that claimed last to be its reader, or any
// live one.
func (m *members) remoteReaders(now time.Time) []*peerState {
	best := map[string]*peerState{}
	for _, p := range m.livePeers(now, func(p *peerState) bool { return p.Zone != m.self.Zone }) {
		if other := best[p.Zone]; other == nil || p.readerAt.After(other.readerAt) {
			best[p.Zone] = p
		}
	}
	readers := make([]*peerState, 0, len(best))
	for _, p := range best {
		readers = append(readers, p)
	}
	return readers
}

// instancesAtStart estimates the number of instances, this one included, before they have been heard.
func (m *members) instancesAtStart(now time.Time, reader bool) int {
	return max(m.instances(now, reader), 1+len(m.peers))
}

// instances estimates the number of live instances, this one included. A reader counts what it hears itself: two that
// took each other for the reader would else repeat an old number to each other for good.
func (m *members) instances(now time.Time, reader bool) int {
	if !reader && now.Sub(m.fleetAt) < liveFor && m.fleet > 0 {
		return max(m.fleet, 1+len(m.zonePeers(now)))
	}
	zones := map[string]int{m.self.Zone: 1 + len(m.zonePeers(now))}
	for _, p := range m.peers {
		if p.Zone != m.self.Zone && p.isLive(now) {
			zones[p.Zone] = max(zones[p.Zone], p.live, 1)
		}
	}
	total := 0
	for _, n := range zones {
		total += n
	}
	return total
}

// rank orders the instances that may read the store: readers of zones first, by zone, then the others.
func (m *members) rank(now time.Time, reader bool) int {
	if !reader {
		zones := map[string]bool{m.self.Zone: true}
		for _, p := range m.peers {
			zones[p.Zone] = true
		}
		return len(zones) + m.order(now)
	}
	before := 0
	for zone := range m.heardZones(now) {
		if zone < m.self.Zone {
			before++
		}
	}
	return before
}

// heardZones returns the other zones of which a member is live.
func (m *members) heardZones(now time.Time) map[string]bool {
	zones := map[string]bool{}
	for _, p := range m.peers {
		if p.isLive(now) && p.Zone != m.self.Zone {
			zones[p.Zone] = true
		}
	}
	return zones
}

// all returns every known member that is not leaving, this instance included.
func (m *members) all() []discovery.Member {
	list := []discovery.Member{m.self}
	for _, p := range m.peers {
		if !p.leaving {
			list = append(list, p.Member)
		}
	}
	return list
}
