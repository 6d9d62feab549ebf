package fleet

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

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
	room := readable(m.self)
	for _, p := range m.zone {
		if !p.isLive(now) {
			continue
		}
		assigned := slices.Contains(before, p.ID)
		if assigned && now.Sub(p.heard) > partSilence && now.Sub(p.assigned) > partSilence {
			p.skipUntil = now.Add(partPause)
		}
		if room >= targets || now.Before(p.skipUntil) {
			continue
		}
		if !assigned {
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
