package fleet

import "time"

// missingFor is how long a silent member counts as one that may be cut off.
const missingFor = 30 * time.Second

// liveInZone is the number of live instances of this zone that this instance hears, itself included.
func (m *members) liveInZone(now time.Time) int {
	count := 1
	for _, p := range m.zone {
		if p.isLive(now) {
			count++
		}
	}
	return count
}

// failing is the number of live peers of this zone that try to read the store in vain.
func (m *members) failing(now time.Time) int {
	count := 0
	for _, p := range m.zone {
		if p.failing > 0 && p.isLive(now) {
			count++
		}
	}
	return count
}

// remoteFailing is the number of instances of other zones that try to read the store in vain.
func (m *members) remoteFailing(now time.Time) int {
	count := 0
	for _, list := range m.remote {
		most := 0
		for _, p := range list {
			if p.isLive(now) {
				most = max(most, p.failing)
			}
		}
		count += most
	}
	return count
}

// missing is how many times more members of this zone were heard in the last half minute than are heard now. The others
// may be cut off from this instance and read the same targets.
func (m *members) missing(now time.Time) float64 {
	live, recent := 1, 1
	for _, p := range m.zone {
		if p.leaving || now.Sub(p.heard) > missingFor {
			continue
		}
		recent++
		if p.isLive(now) {
			live++
		}
	}
	return float64(recent) / float64(live)
}

// instancesAtStart estimates the number of instances, this one included, before they have been heard.
func (m *members) instancesAtStart(now time.Time, reader bool) int {
	return max(m.instances(now, reader), 1+len(m.peers))
}

// instances estimates the number of live instances, this one included. A reader counts what it hears itself: two that
// took each other for the reader would else repeat an old number to each other for good.
func (m *members) instances(now time.Time, reader bool) int {
	if !reader && m.fleet > 0 && now.Sub(m.fleetAt) < liveFor {
		return max(m.fleet, m.liveInZone(now))
	}
	total := m.liveInZone(now)
	for _, list := range m.remote {
		most := 0
		for _, p := range list {
			if p.isLive(now) {
				most = max(most, p.live, 1)
			}
		}
		total += most
	}
	return total
}
