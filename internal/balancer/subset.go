package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns the indexes of the targets that an instance uses. It is deterministic: targets are ranked by a
// hash of their address and the instance, so that a target that joins or leaves changes few subsets.
func subset(config Config) []int {
	members := make([]int, len(config.Targets))
	for i := range members {
		members[i] = i
	}
	if config.SubsetSize <= 0 || config.SubsetSize >= len(members) {
		return members
	}
	ranks := make([]uint64, len(members))
	for i, target := range config.Targets {
		state := xxhash.Sum64String(target.Address) ^ config.Instance
		ranks[i] = mix(&state)
	}
	slices.SortFunc(members, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	return members[:config.SubsetSize]
}
