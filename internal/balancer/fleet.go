package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what an instance knows about the instances of a service. It selects the instance's subset of targets.
type Subsetter struct {
	// Self is the id of this instance.
	Self string
	// Instances are the ids of the live instances that this one knows, each once. Its own may be missing, and order
	// does not matter.
	Instances []string
	// Max is the highest number of instances that run at once.
	MaxInstances int
}

// Subset returns the indexes of the size targets that this instance uses, in order.
//
// Targets and instances lie on two circles, ordered by hash, and an instance uses the targets from its place on. Places
// are at least 1/Max apart when at most Max instances have the same list, so that no target is used by more than
// ceil(size x Max / targets) of them. An entry that a list lacks or has too many moves a place by at most 1/Max.
func (f *Subsetter) Subset(addresses []string, size int) []int {
	circle := make([]int, len(addresses))
	hashes := make([]uint64, len(addresses))
	for i, address := range addresses {
		circle[i], hashes[i] = i, xxhash.Sum64String(address)
	}
	slices.SortFunc(circle, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(addresses[a], addresses[b]))
	})
	first := f.place(len(addresses))
	subset := make([]int, 0, size)
	for i := range min(size, len(circle)) {
		subset = append(subset, circle[(first+i)%len(circle)])
	}
	slices.Sort(subset)
	return subset
}

// placeBits is the precision of a hash as a place. Integers keep places exactly apart; max_instances and the number of
// targets take at most 14 bits each.
const placeBits = 32

// place returns the place of this instance on a circle of targets. Instances that it does not know are assumed to be
// spread evenly by their hash. With a full list the place is the rank, which is even; with an empty one it is the
// hash, so that instances that have just started do not all use the same targets.
func (f *Subsetter) place(targets int) int {
	own := xxhash.Sum64String(f.Self)
	known, before := uint64(1), uint64(0)
	for _, id := range f.Instances {
		if id == f.Self {
			continue
		}
		known++
		if cmp.Or(cmp.Compare(xxhash.Sum64String(id), own), cmp.Compare(id, f.Self)) < 0 {
			before++
		}
	}
	all := max(known, uint64(max(0, f.MaxInstances)))
	rank := before<<placeBits + (all-known)*(own>>(64-placeBits))
	return int(rank * uint64(targets) / all >> placeBits)
}
