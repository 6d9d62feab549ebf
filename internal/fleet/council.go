package fleet

import (
	"slices"
	"time"
)

const (
	// readerSilence is how long the reader of the zone may be silent before the next member takes over, and
	// successionStep the further wait of each member behind that one.
	readerSilence  = 160 * time.Millisecond
	successionStep = 60 * time.Millisecond
	// resumeSilence is how long an instance whose process was paused listens. A reader speaks every readerInterval.
	resumeSilence = 250 * time.Millisecond
	// startSilence is how long instances of large zones wait after their start.
	startSilence = 200 * time.Millisecond
	// councilSize is the number of members of a zone that hear the heartbeats of all its members, so that one of them can
	// take over from the reader. Heartbeats of all to all would grow with the square of the zone.
	councilSize = 8
	// lastInLine is the place in line of all members behind that many others. One that hears nobody has to read the zone and
	// the store for itself in time for departures, which bind within 2 s.
	lastInLine = 20
	// councilFor is how long the council holds that the reader of the zone told.
	councilFor = 5 * time.Second
)

// council returns the members of this zone that hear the heartbeats of all its members, and its reader: those that the
// reader told, or the first of those that are known.
func (m *members) council(now time.Time) []*peerState {
	list := make([]*peerState, 0, councilSize+1)
	if m.isTold(now) {
		for _, id := range m.told {
			if p := m.peers[id]; p != nil && !p.leaving {
				list = append(list, p)
			}
		}
	} else {
		for _, p := range m.zone {
			if len(list) < councilSize && !p.givenUp(now) {
				list = append(list, p)
			}
		}
	}
	if p := m.zoneReader(now); p != nil && !slices.Contains(list, p) {
		list = append(list, p)
	}
	return list
}

// isTold reports whether the reader of the zone told the council lately.
func (m *members) isTold(now time.Time) bool {
	return len(m.told) > 0 && now.Sub(m.toldAt) < councilFor
}

// inCouncil reports whether this instance belongs to the council of its zone.
func (m *members) inCouncil(now time.Time) bool {
	if m.isTold(now) {
		return slices.Contains(m.told, m.self.ID)
	}
	return m.knownOrder() < councilSize
}

// councilIDs is the council as the reader of a zone sees it: the live members that come first.
func (m *members) councilIDs(now time.Time) []string {
	ids := make([]string, 0, councilSize)
	for _, p := range m.zone {
		if len(ids) < councilSize && p.isLive(now) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// order is the number of members of this zone that take over from its reader before this instance. Members of the council
// hear each other; the others go by the members that they know.
func (m *members) order(now time.Time) int {
	if !m.inCouncil(now) {
		return max(min(m.knownOrder(), lastInLine), councilSize)
	}
	before := 0
	for _, p := range m.zone {
		if !precedes(p.Member, m.self) {
			break
		}
		if p.isLive(now) {
			before++
		}
	}
	return before
}

// knownOrder is the number of known members of this zone that come before this instance, heard or not.
func (m *members) knownOrder() int {
	before := 0
	for _, p := range m.zone {
		if !precedes(p.Member, m.self) {
			break
		}
		if !p.leaving {
			before++
		}
	}
	return before
}

// readsZone reports whether this instance reads the load of its zone: no earlier member has claimed that lately. It
// listens for others first, after a pause of its process and after its start. In a small zone all members may read for a
// moment after a start, so that the first readings come at once.
func (m *members) readsZone(now, started, resumed time.Time) bool {
	if now.Sub(resumed) < resumeSilence {
		return false
	}
	if now.Before(m.mayClaim(started)) {
		return false
	}
	limit := readerSilence + time.Duration(m.order(now))*successionStep
	for _, p := range m.zone {
		if !precedes(p.Member, m.self) {
			break
		}
		if !p.leaving && now.Sub(p.readerAt) < limit {
			return false
		}
	}
	return true
}

// mayClaim is when an instance that started at a time may claim to be the reader of its zone, though nobody else does.
func (m *members) mayClaim(started time.Time) time.Time {
	if m.wasReader {
		return started
	}
	alone := len(m.peers) == 0
	if alone || max(m.zoneSize(), m.toldSize) > largeZone {
		return started.Add(startSilence + patience(m.self) + time.Duration(min(m.knownOrder(), largeZone))*successionStep)
	}
	return started
}

// zoneReader returns the live peer of this zone that claimed last to be its reader, or nil.
func (m *members) zoneReader(now time.Time) *peerState {
	if p := m.lastReader; p != nil && p.isLive(now) && now.Sub(p.readerAt) < liveFor {
		return p
	}
	return latestReader(m.zone, now, liveFor)
}

// latestReader returns the live member of a list that claimed last to be a reader, within a time.
func latestReader(list []*peerState, now time.Time, within time.Duration) *peerState {
	var best *peerState
	for _, p := range list {
		if p.isLive(now) && now.Sub(p.readerAt) < within && (best == nil || p.readerAt.After(best.readerAt)) {
			best = p
		}
	}
	return best
}
