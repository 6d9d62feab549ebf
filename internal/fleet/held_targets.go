package fleet

import (
	"slices"
	"time"
)

// useFoundRunning puts held entries into use whose targets the results of a round show to be running, and tells the other instances.
// It returns the results of the other targets.
func (n *Node) useFoundRunning(results []probeResult, now time.Time) []probeResult {
	if len(n.zoneHeld) == 0 {
		return results
	}
	var found []string
	results = slices.DeleteFunc(results, func(r probeResult) bool {
		if !n.zoneHeld[r.id] {
			return false
		}
		if r.failures > 0 || !r.report.Healthy || r.report.Draining {
			return true
		}
		if c, running := n.registry.FoundRunning(r.id, now.Add(r.startedAt-n.Now()), now); running {
			n.recentChanges = append(n.recentChanges, recentChange{c, now})
			found = append(found, r.id)
		}
		return true
	})
	if len(found) > 0 {
		n.Log.Info("Targets whose entries were held answer.", "count", len(found), "targets", truncateForLog(found))
		n.publishView(now)
		n.broadcastUpdate(now)
	}
	return results
}

// admitHeldTargets puts targets into use whose entries were held and have proved to be newer.
func (n *Node) admitHeldTargets(now time.Time) {
	if !n.targetsTopic.Known {
		return
	}
	admitted := n.registry.AdmitHeld(now, n.targetsTopic.AsOf)
	if len(admitted) == 0 {
		return
	}
	n.Log.Info("Targets whose entries were held are running.", "count", len(admitted), "targets", truncateForLog(admitted))
	n.publishView(now)
}
