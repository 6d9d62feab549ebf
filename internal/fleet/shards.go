package fleet

import (
	"slices"
	"time"

	"github.com/basillink/basillink/internal/discovery"
)

const (
	// targetsPerCore is how many targets an instance with a whole core probes before another instance of the zone is
	// assigned a shard. A probe costs about 0.1 ms of processor time in all.
	targetsPerCore = 64
	// CapacityUnit is the capacity of a whole core in discovery.Member. minCapacity is assumed for members with less.
	CapacityUnit = 1000
	minCapacity  = 50
	// shardOwnerTimeout is how long the owner of a shard may be silent before its shard goes to another instance, and
	// shardOwnerExclusion is how long it is then assigned none.
	shardOwnerTimeout   = 400 * time.Millisecond
	shardOwnerExclusion = 3 * time.Second
)

// shard is the part of a zone's targets that one instance probes: those whose hash modulo count is index. The zero
// value has no targets.
type shard struct{ index, count int }

// includes reports whether the target with a hash belongs to the shard.
func (s shard) includes(hash uint32) bool { return s.count > 0 && int(hash%uint32(s.count)) == s.index }

// assignShards returns the instances that probe the targets of this zone, as many as needed: this instance, which is
// the leader, and the first live members. A previous owner that fell silent is excluded for a while.
func (m *members) assignShards(now time.Time, targets int, previous []string) []string {
	owners := []string{m.self.ID}
	capacity := probeCapacity(m.self)
	for _, p := range m.zonePeers {
		if !p.isLive(now) {
			continue
		}
		wasOwner := slices.Contains(previous, p.ID)
		if wasOwner && now.Sub(p.lastHeard) > shardOwnerTimeout && now.Sub(p.assignedAt) > shardOwnerTimeout {
			p.excludedUntil = now.Add(shardOwnerExclusion)
		}
		if capacity >= targets || now.Before(p.excludedUntil) {
			continue
		}
		if !wasOwner {
			p.assignedAt = now
		}
		owners = append(owners, p.ID)
		capacity += probeCapacity(p.Member)
	}
	return owners
}

// probeCapacity returns the number of targets that a member can probe.
func probeCapacity(m discovery.Member) int {
	return max(m.Capacity, minCapacity) * targetsPerCore / CapacityUnit
}
