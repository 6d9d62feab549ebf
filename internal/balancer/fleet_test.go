package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// subsets returns the targets of each instance, and the largest number of instances with the same target. Off is how many
// entries each list lacks, and how many it has too many.
func subsets(ids []string, targets, size, most, off int) (map[string][]int, int) {
	random := rand.New(rand.NewPCG(uint64(off), 8))
	var addresses []string
	for i := range targets {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:80", i))
	}
	result, counts := map[string][]int{}, make([]int, targets)
	for _, id := range ids {
		list := slices.Clone(ids)
		for range off {
			list[random.IntN(len(list))] = fmt.Sprint("gone-", random.Uint64())
		}
		result[id] = (&Subsetter{Self: id, Instances: list, MaxInstances: most}).Subset(addresses, size)
		for _, target := range result[id] {
			counts[target]++
		}
	}
	return result, slices.Max(counts)
}

// moved counts the connections that instances of both fleets open anew, except to a target.
func moved(before, after map[string][]int, except int) int {
	moves := 0
	for id, subset := range before {
		for _, target := range after[id] {
			if target != except && !slices.Contains(subset, target) {
				moves++
			}
		}
	}
	return moves
}

// Guards against targets with more connections than their limit: whatever the ids, instances with the same list stay
// within it, and when each list differs from the truth by some entries, within twice as many more. Guards against a
// change of the fleet that moves a large part of the connections: an instance that joins moves less than one connection
// for each target, and a target that joins less than one for each instance, besides their own.
func TestSubsetsBoundTheConnectionsOfATarget(t *testing.T) {
	const connections, off = 250, 5
	for _, instances := range []int{300, 600, 1000} {
		for _, targets := range []int{20, 35} {
			size := targets * connections / instances
			for seed := range uint64(3) {
				ids := make([]string, instances)
				for i := range ids {
					ids[i] = fmt.Sprint("i-", seed, "-", i)
				}
				even, largest := subsets(ids, targets, size, instances, 0)
				_, half := subsets(ids[:instances/2], targets, size, instances, 0)
				_, lagging := subsets(ids, targets, size, instances, off)
				if largest > connections || half > connections || lagging > connections+4*off {
					t.Errorf("%d instances, %d targets: %d, %d of half and %d connections", instances, targets, largest, half, lagging)
				}
				without, _ := subsets(ids[1:], targets, size, instances, 0)
				wider, _ := subsets(ids, targets+1, size, instances, 0)
				joins, grown := moved(without, even, -1), moved(even, wider, targets)
				if joins > targets || grown > instances {
					t.Errorf("%d instances, %d targets: an instance moved %d connections, a target %d", instances, targets, joins, grown)
				}
				t.Logf("%d instances, %d targets: largest %d, lagging %d, moved %d and %d", instances, targets, largest, lagging, joins, grown)
			}
		}
	}
}
