package fleet

import "time"

// missingPeriod is how long a silent member counts as possibly partitioned.
const missingPeriod = 30 * time.Second

// liveInZone returns the number of live instances of this zone, this one included.
func (m *members) liveInZone(now time.Time) int {
	count := 1
	for _, p := range m.zonePeers {
		if p.isLive(now) {
			count++
		}
	}
	return count
}

// failingPeers returns the number of live peers of this zone whose reads of the store fail.
func (m *members) failingPeers(now time.Time) int {
	count := 0
	for _, p := range m.zonePeers {
		if p.zoneFailing > 0 && p.isLive(now) {
			count++
		}
	}
	return count
}

// remoteFailing returns the number of instances of other zones whose reads of the store fail.
func (m *members) remoteFailing(now time.Time) int {
	count := 0
	for _, list := range m.remotePeers {
		largest := 0
		for _, p := range list {
			if p.isLive(now) {
				largest = max(largest, p.zoneFailing)
			}
		}
		count += largest
	}
	return count
}

// missingFactor returns how many times more members of this zone were heard from within missingPeriod than are live
// now. The missing ones may be partitioned from this instance and probe the same targets.
func (m *members) missingFactor(now time.Time) float64 {
	live, recent := 1, 1
	for _, p := range m.zonePeers {
		if p.leaving || now.Sub(p.lastHeard) > missingPeriod {
			continue
		}
		recent++
		if p.isLive(now) {
			live++
		}
	}
	return float64(recent) / float64(live)
}

// instancesAtStartup estimates the number of instances, this one included, before all of them were heard from.
func (m *members) instancesAtStartup(now time.Time, isLeader bool) int {
	return max(m.instances(now, isLeader), 1+len(m.peers))
}

// instances estimates the number of live instances, this one included. A leader uses its own count: two instances that
// take each other for the leader would otherwise repeat an outdated number to each other forever.
func (m *members) instances(now time.Time, isLeader bool) int {
	if !isLeader && m.fleetLive > 0 && now.Sub(m.fleetLiveAt) < livenessTimeout {
		return max(m.fleetLive, m.liveInZone(now))
	}
	total := m.liveInZone(now)
	for _, list := range m.remotePeers {
		largest := 0
		for _, p := range list {
			if p.isLive(now) {
				largest = max(largest, p.zoneLive, 1)
			}
		}
		total += largest
	}
	return total
}
