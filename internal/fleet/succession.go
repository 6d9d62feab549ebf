package fleet

import (
	"slices"
	"time"
)

const (
	// leaderTimeout is how long the leader of a zone may be silent before the next member takes over, and
	// successionStep is the additional wait of each member ranked after that one.
	leaderTimeout  = 160 * time.Millisecond
	successionStep = 60 * time.Millisecond
	// resumeListenTime is how long an instance listens for a leader after its process was paused. A leader sends every
	// leaderInterval.
	resumeListenTime = 250 * time.Millisecond
	// startupListenTime is how long instances of large zones listen for a leader after their start.
	startupListenTime = 200 * time.Millisecond
	// maxStandbys is the number of members of a zone, besides its leader, that receive the heartbeats of the whole
	// zone, so that one of them can take over as leader. Sending all heartbeats to all members would grow with the
	// square of the zone.
	maxStandbys = 8
	// maxSuccessionRank is the rank of all members that have at least that many others before them. A partitioned
	// member has to lead its zone and read the store for itself in time for departures, which must be applied within
	// 2 s.
	maxSuccessionRank = 20
	// standbysTTL is how long the standbys that the leader of the zone reported remain valid.
	standbysTTL = 5 * time.Second
)

// heartbeatReceivers returns the standbys and the leader of this zone. The standbys are those that the leader reported,
// or else the first known members.
func (m *members) heartbeatReceivers(now time.Time) []*peerState {
	list := make([]*peerState, 0, maxStandbys+1)
	if m.hasReportedStandbys(now) {
		for _, id := range m.reportedStandbys {
			if p := m.peers[id]; p != nil && !p.leaving {
				list = append(list, p)
			}
		}
	} else {
		for _, p := range m.zonePeers {
			if len(list) < maxStandbys && !p.isGone(now) {
				list = append(list, p)
			}
		}
	}
	if p := m.zoneLeader(now); p != nil && !slices.Contains(list, p) {
		list = append(list, p)
	}
	return list
}

// hasReportedStandbys reports whether the leader of the zone reported its standbys lately.
func (m *members) hasReportedStandbys(now time.Time) bool {
	return len(m.reportedStandbys) > 0 && now.Sub(m.standbysReportedAt) < standbysTTL
}

// isStandby reports whether this instance is a standby of its zone.
func (m *members) isStandby(now time.Time) bool {
	if m.hasReportedStandbys(now) {
		return slices.Contains(m.reportedStandbys, m.self.ID)
	}
	return m.knownRank() < maxStandbys
}

// standbyIDs returns the standbys as the leader of a zone selects them: the first live members.
func (m *members) standbyIDs(now time.Time) []string {
	ids := make([]string, 0, maxStandbys)
	for _, p := range m.zonePeers {
		if len(ids) < maxStandbys && p.isLive(now) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// successionRank returns the number of members of this zone that take over as leader before this instance. Standbys
// receive each other's heartbeats and count live members; the others count known members.
func (m *members) successionRank(now time.Time) int {
	if !m.isStandby(now) {
		return max(min(m.knownRank(), maxSuccessionRank), maxStandbys)
	}
	before := 0
	for _, p := range m.zonePeers {
		if !precedes(p.Member, m.self) {
			break
		}
		if p.isLive(now) {
			before++
		}
	}
	return before
}

// knownRank returns the number of known members of this zone, live or not, that precede this instance.
func (m *members) knownRank() int {
	before := 0
	for _, p := range m.zonePeers {
		if !precedes(p.Member, m.self) {
			break
		}
		if !p.leaving {
			before++
		}
	}
	return before
}

// shouldLead reports whether this instance is the leader of its zone: no preceding member claimed leadership lately.
// After a pause of its process and after its start it listens for a leader first. In a small zone all members may lead
// for a moment after a start, so that the first load reports come at once.
func (m *members) shouldLead(now, started, resumed time.Time) bool {
	if now.Sub(resumed) < resumeListenTime {
		return false
	}
	if now.Before(m.earliestLeadership(started)) {
		return false
	}
	limit := leaderTimeout + time.Duration(m.successionRank(now))*successionStep
	for _, p := range m.zonePeers {
		if !precedes(p.Member, m.self) {
			break
		}
		if !p.leaving && now.Sub(p.leaderClaimAt) < limit {
			return false
		}
	}
	return true
}

// earliestLeadership returns the earliest time at which an instance that started at the given time may become leader,
// even if no other member claims leadership.
func (m *members) earliestLeadership(started time.Time) time.Time {
	if m.wasLeader {
		return started
	}
	alone := len(m.peers) == 0
	if alone || max(m.zonePeerCount(), m.reportedZoneSize) > largeZoneSize {
		return started.Add(startupListenTime + startDelayOf(m.self) + time.Duration(min(m.knownRank(), largeZoneSize))*successionStep)
	}
	return started
}

// zoneLeader returns the live peer of this zone that claimed leadership last, or nil.
func (m *members) zoneLeader(now time.Time) *peerState {
	if p := m.lastLeader; p != nil && p.isLive(now) && now.Sub(p.leaderClaimAt) < livenessTimeout {
		return p
	}
	return latestLeader(m.zonePeers, now, livenessTimeout)
}

// latestLeader returns the live member of a list that claimed leadership last and no longer ago than within, or nil.
func latestLeader(list []*peerState, now time.Time, within time.Duration) *peerState {
	var best *peerState
	for _, p := range list {
		if p.isLive(now) && now.Sub(p.leaderClaimAt) < within && (best == nil || p.leaderClaimAt.After(best.leaderClaimAt)) {
			best = p
		}
	}
	return best
}
