package fleet

import (
	"maps"
	"net"
	"time"

	"github.com/basillink/basillink/internal/dispatch"
)

// claimNote announces a request that the sender is about to send to a target. The receiver reads the target's zone.
type claimNote struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Number uint32
}

// denialNote answers a claim of a target without a free slot.
type denialNote struct {
	_        struct{} `cbor:",toarray"`
	Target   uint32
	Number   uint32
	Occupied uint16
}

// claimTable is what claims need outside the control loop.
type claimTable struct {
	targets map[uint32]claimTarget
	// readers are the instances that read the targets of each zone. Zones that this instance reads itself are missing.
	readers map[string]*net.UDPAddr
}

type claimTarget struct {
	id, zone string
	pool     *dispatch.Pool
}

// refreshClaims makes what the control loop knows available to claims.
func (n *Node) refreshClaims() {
	table := &claimTable{targets: make(map[uint32]claimTarget, len(n.byHash)), readers: map[string]*net.UDPAddr{}}
	for hash, ref := range n.byHash {
		if ref.target != nil {
			table.targets[hash] = claimTarget{ref.id, ref.zone, ref.readings.pool}
		}
	}
	for zone, p := range n.readers {
		table.readers[zone] = p.udp
	}
	n.claims.Store(table)
}

// claim announces a request that is about to be sent to a target to the instance that reads the target's zone. It reports
// false when there is none, or it is this instance.
func (n *Node) claim(target string, number uint32) bool {
	table := n.claims.Load()
	if table == nil {
		return false
	}
	hash := hashID(target)
	reader := table.readers[table.targets[hash].zone]
	if reader == nil {
		return false
	}
	n.sendAll(&datagram{Claim: &claimNote{Target: hash, Number: number}}, reader)
	return true
}

// takeClaim counts the claim of another instance or denies it.
func (n *Node) takeClaim(c *claimNote, from *net.UDPAddr) {
	table := n.claims.Load()
	if table == nil {
		return
	}
	t, known := table.targets[c.Target]
	if !known {
		return
	}
	if room, occupied := t.pool.HandleClaim(t.id); !room {
		n.sendAll(&datagram{Denial: &denialNote{Target: c.Target, Number: c.Number, Occupied: uint16(min(occupied, 1<<16-1))}}, from)
	}
}

// takeDenial withdraws a claim of this instance.
func (n *Node) takeDenial(d *denialNote) {
	table := n.claims.Load()
	if table == nil {
		return
	}
	if t, known := table.targets[d.Target]; known {
		t.pool.HandleDenial(t.id, d.Number, int(d.Occupied))
	}
}

// refreshReaders notes who reads the targets of each zone. Instances talk to the readers of other zones only when they
// read their own zone; the others learn of them from the reader of their zone.
func (n *Node) refreshReaders(now time.Time) {
	before := n.readers
	n.readers = map[string]*peerState{}
	if n.reader {
		for _, p := range n.members.remoteReaders(now) {
			n.readers[p.Zone] = p
		}
	} else if reader := n.members.zoneReader(now); reader != nil {
		n.readers[n.Self.Zone] = reader
		for _, id := range n.toldReaders {
			if p := n.members.peers[id]; p != nil {
				n.readers[p.Zone] = p
			}
		}
	}
	if !maps.Equal(before, n.readers) {
		n.refreshClaims()
	}
}

// remoteReaderIDs returns the instances that read the targets of the other zones.
func (n *Node) remoteReaderIDs() []string {
	var ids []string
	for zone, p := range n.readers {
		if zone != n.Self.Zone {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
