package fleet

import (
	"maps"
	"net"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
)

// claim announces a request that the sender is about to send to a target. The receiver is the leader of the target's
// zone.
type claim struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Number uint32
}

// denial rejects a claim of a target without a free slot.
type denial struct {
	_        struct{} `cbor:",toarray"`
	Target   uint32
	Number   uint32
	InFlight uint16
}

// claimTable is an immutable snapshot for claims, which are handled outside the control loop.
type claimTable struct {
	targets map[uint32]claimTarget
	// leaders are the addresses of the leaders of the zones. The zone that this instance leads itself is missing.
	leaders map[string]*net.UDPAddr
}

type claimTarget struct {
	id, zone string
	pool     *dispatch.Pool
}

// publishClaimTable publishes a new snapshot of the targets and zone leaders.
func (n *Node) publishClaimTable() {
	table := &claimTable{targets: make(map[uint32]claimTarget, len(n.targetsByHash)), leaders: map[string]*net.UDPAddr{}}
	for hash, ref := range n.targetsByHash {
		if ref.target != nil {
			table.targets[hash] = claimTarget{ref.id, ref.zone, ref.batch.pool}
		}
	}
	for zone, p := range n.zoneLeaders {
		table.leaders[zone] = p.udp
	}
	n.claimTable.Store(table)
}

// sendClaim announces a request that is about to be sent to a target to the leader of the target's zone. It returns
// false if that leader is unknown or is this instance. It is safe for concurrent use.
func (n *Node) sendClaim(target string, number uint32, expected time.Duration) bool {
	table := n.claimTable.Load()
	if table == nil {
		return false
	}
	hash := hashID(target)
	leader := table.leaders[table.targets[hash].zone]
	if leader == nil {
		return false
	}
	n.sendDatagram(&datagram{Claim: &claim{Target: hash, Number: number}, ClaimMS: toAgeMS(expected)}, leader)
	return true
}

// handleClaim counts the claim of another instance, or denies it if the target has no free slot.
func (n *Node) handleClaim(c *claim, expected time.Duration, from *net.UDPAddr) {
	table := n.claimTable.Load()
	if table == nil {
		return
	}
	t, known := table.targets[c.Target]
	if !known {
		return
	}
	if free, inFlight := t.pool.HandleClaim(t.id, expected); !free {
		n.sendDatagram(&datagram{Denial: &denial{Target: c.Target, Number: c.Number, InFlight: uint16(min(inFlight, 1<<16-1))}}, from)
	}
}

// handleDenial withdraws a claim of this instance.
func (n *Node) handleDenial(d *denial) {
	table := n.claimTable.Load()
	if table == nil {
		return
	}
	if t, known := table.targets[d.Target]; known {
		t.pool.HandleDenial(t.id, d.Number, int(d.InFlight))
	}
}

// updateZoneLeaders updates the known leaders of the zones. Leaders exchange datagrams with each other; the other
// instances learn the leaders of the other zones from their own leader.
func (n *Node) updateZoneLeaders(now time.Time) {
	before := n.zoneLeaders
	n.zoneLeaders = map[string]*peerState{}
	if n.isLeader {
		for _, p := range n.members.remoteLeaders(now) {
			n.zoneLeaders[p.Zone] = p
		}
	} else if leader := n.members.zoneLeader(now); leader != nil {
		n.zoneLeaders[n.Self.Zone] = leader
		for _, id := range n.reportedLeaders {
			if p := n.members.peers[id]; p != nil {
				n.zoneLeaders[p.Zone] = p
			}
		}
	}
	if !maps.Equal(before, n.zoneLeaders) {
		n.publishClaimTable()
	}
}

// remoteLeaderIDs returns the ids of the leaders of the other zones.
func (n *Node) remoteLeaderIDs() []string {
	var ids []string
	for zone, p := range n.zoneLeaders {
		if zone != n.Self.Zone {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
