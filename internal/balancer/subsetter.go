package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subsetter selects the subset of a service's targets that an instance uses (deterministic subsetting).
type Subsetter struct {
	// Self is the id of this instance.
	Self string
	// Instances holds the ids of the live instances that this instance knows, in any order and without duplicates. Self
	// may be missing.
	Instances []string
	// MaxInstances is the maximum number of instances that run at the same time.
	MaxInstances int
}

// Subset returns the indexes of the targets that this instance uses, in ascending order. There are size of them, or as
// many as there are addresses.
//
// The targets form a ring, ordered by hash. Each instance has a position on the ring and uses the targets that follow.
// Positions are at least 1/MaxInstances of the ring apart when at most MaxInstances instances have the same list of
// instances, so no target is used by more than ceil(size * MaxInstances / targets) of them. Each missing or surplus
// entry in a list moves a position by at most 1/MaxInstances.
func (s *Subsetter) Subset(addresses []string, size int) []int {
	ring := make([]int, len(addresses))
	hashes := make([]uint64, len(addresses))
	for i, address := range addresses {
		ring[i], hashes[i] = i, xxhash.Sum64String(address)
	}
	slices.SortFunc(ring, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(addresses[a], addresses[b]))
	})
	first := s.position(len(addresses))
	subset := make([]int, 0, size)
	for i := range min(size, len(ring)) {
		subset = append(subset, ring[(first+i)%len(ring)])
	}
	slices.Sort(subset)
	return subset
}

// positionBits is the number of fractional bits of a position. Fixed-point numbers keep the distances between positions
// exact. max_instances and the number of targets take at most 14 bits each, so the product fits into 64 bits.
const positionBits = 32

// position returns the index on a ring of targets at which the subset of this instance begins. Instances missing from the
// list are assumed to be spread evenly by hash. With a complete list the position follows from the rank alone, which
// spreads instances evenly. With an empty list it follows from the hash alone, so that instances that have just started
// do not all use the same targets.
func (s *Subsetter) position(ringSize int) int {
	own := xxhash.Sum64String(s.Self)
	known, before := uint64(1), uint64(0)
	for _, id := range s.Instances {
		if id == s.Self {
			continue
		}
		known++
		if cmp.Or(cmp.Compare(xxhash.Sum64String(id), own), cmp.Compare(id, s.Self)) < 0 {
			before++
		}
	}
	total := max(known, uint64(max(0, s.MaxInstances)))
	rank := before<<positionBits + (total-known)*(own>>(64-positionBits))
	return int(rank * uint64(ringSize) / total >> positionBits)
}
