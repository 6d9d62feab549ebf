package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// subsets returns the targets of each instance. Lagging changes the list that an instance has.
func subsets(ids []string, targets, size, most int, lagging func(list []string) []string) map[string][]int {
	addresses := make([]string, targets)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.0.%d:80", i)
	}
	result := map[string][]int{}
	for _, id := range ids {
		fleet := Fleet{Self: id, Instances: lagging(ids), Max: most}
		result[id] = fleet.Subset(addresses, size)
	}
	return result
}

func largest(subsets map[string][]int, targets int) int {
	counts := make([]int, targets)
	for _, subset := range subsets {
		for _, target := range subset {
			counts[target]++
		}
	}
	return slices.Max(counts)
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

func same(list []string) []string { return list }

// Guards against targets with more connections than their limit: whatever the ids, instances with the same list stay
// within it, and when each list differs from the truth by up to lag entries, within 2 x lag more. Guards against a
// change of the fleet that moves a large part of the connections: an instance that joins moves less than one connection
// for each target, and a target that joins less than one for each instance, besides their own.
func TestSubsetsBoundTheConnectionsOfATarget(t *testing.T) {
	const connections, lag = 250, 5
	for _, instances := range []int{300, 600, 1000} {
		for _, targets := range []int{20, 35} {
			size := targets * connections / instances
			limit := (size*instances + targets - 1) / targets
			var spread, lagged, half, alone, joins, grown int
			for seed := range uint64(3) {
				random := rand.New(rand.NewPCG(seed, 8))
				ids := make([]string, instances)
				for i := range ids {
					ids[i] = fmt.Sprintf("i-%x", random.Uint64())
				}
				even := subsets(ids, targets, size, instances, same)
				spread = max(spread, largest(even, targets))
				half = max(half, largest(subsets(ids[:instances/2], targets, size, instances, same), targets))
				lagged = max(lagged, largest(subsets(ids, targets, size, instances, func(list []string) []string {
					list = slices.Clone(list)
					for range lag {
						list[random.IntN(len(list))] = fmt.Sprintf("gone-%x", random.Uint64())
					}
					return list
				}), targets))
				alone = max(alone, largest(subsets(ids, targets, size, instances, func([]string) []string { return nil }), targets))
				without := subsets(ids[1:], targets, size, instances, same)
				joins = max(joins, moved(without, even, -1))
				grown = max(grown, moved(even, subsets(ids, targets+1, size, instances, same), targets))
			}
			t.Logf("%d instances, %d targets, %d each: largest %d, of half the fleet %d, lists off by %d+%d %d, empty lists %d of %d; moved by an instance %d, by a target %d",
				instances, targets, size, spread, half, lag, lag, lagged, alone, connections, joins, grown)
			if spread > limit || half > limit || limit > connections || lagged > limit+4*lag {
				t.Errorf("%d instances, %d targets: largest %d, %d and %d, limit %d", instances, targets, spread, half, lagged, limit)
			}
			if joins > targets || grown > instances {
				t.Errorf("%d instances, %d targets: an instance moved %d connections, a target %d", instances, targets, joins, grown)
			}
		}
	}
}
