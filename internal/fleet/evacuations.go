package fleet

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
	"github.com/basillink/basillink/internal/evacuation"
	"github.com/basillink/basillink/internal/registry"
	"github.com/basillink/basillink/internal/topic"
)

// The operator evacuates a zone by a record in the store. The targets of such a zone are left out of the views, so that the pools drop
// them, and are still probed. Any instance that learns of it by a read tells the others; the leaders relay it to their zones.

// applyEvacuationRecords applies the operator's records of a read. It reports whether the evacuated zones changed.
func (n *Node) applyEvacuationRecords(records discovery.OperatorRecords, next topic.Position, now time.Time) bool {
	before := n.evacuations.Zones()
	changed := n.evacuations.ApplyRead(records, next, now)
	n.recordEvacuations(before, "store", now)
	return changed
}

// applyEvacuationReport applies the report of a peer. It reports whether the evacuated zones changed.
func (n *Node) applyEvacuationReport(report *evacuation.Report, now time.Time) bool {
	before := n.evacuations.Zones()
	changed := n.evacuations.ApplyReport(report, now)
	n.recordEvacuations(before, "peer", now)
	return changed
}

// expireEvacuations ends the evacuations that the operator did not write again after a restore of the store.
func (n *Node) expireEvacuations(now time.Time) {
	before := n.evacuations.Zones()
	if len(n.evacuations.Expire(now)) == 0 {
		return
	}
	n.recordEvacuations(before, "restore", now)
	n.publishView(now)
}

// reportsCurrentEvacuations reports whether a peer has read the operator's records at least as far as this instance knows them.
func (n *Node) reportsCurrentEvacuations(status *configStatus) bool {
	return status.Evacuations != nil && !status.Evacuations.Next().Before(n.evacuations.Next())
}

// lastSeen returns when a target last reported its load, 0 if it did not.
func (n *Node) lastSeen(t registry.Target) time.Duration {
	seen := n.evacuatedSeen[hashID(t.ID)]
	if pool := n.pools[t.Service]; pool != nil {
		seen = max(seen, pool.LastSeen(pool.Target(t.ID)))
	}
	return seen
}

// keepLastSeen remembers when the targets of evacuated zones last reported their load. It runs before the pools drop them.
func (n *Node) keepLastSeen(inUse map[string]registry.Target) {
	seen := map[uint32]time.Duration{}
	for id, t := range inUse {
		if n.evacuations.Contains(t.Zone) {
			seen[hashID(id)] = n.lastSeen(t)
		}
	}
	n.evacuatedSeen = seen
}

// observeEvacuated records that a target of an evacuated zone reported its load.
func (n *Node) observeEvacuated(report loadReport, now time.Duration) {
	if seen, kept := n.evacuatedSeen[report.Target]; kept && report.SlowdownPercent > 0 {
		n.evacuatedSeen[report.Target] = max(seen, toDispatchReport(report, now).ReceivedAt)
	}
}

// recordEvacuations logs and counts the zones whose evacuation began or ended.
func (n *Node) recordEvacuations(before []string, source string, now time.Time) {
	after := n.evacuations.Zones()
	position := n.evacuations.Next()
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			n.Log.Warn("A zone is evacuated.", "zone", zone, "source", source, "era", position.Era, "next", position.Offset)
			n.traffic.addEvacuation(zone)
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			n.Log.Warn("The evacuation of a zone has ended.", "zone", zone, "source", source, "era", position.Era, "next", position.Offset)
			n.expectRequests(zone, now)
		}
	}
	n.traffic.setEvacuated(after)
}
