package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// subsets returns the subset of each instance and the largest number of instances that use the same target. In each
// instance's list, up to stale random entries are replaced by ids of instances that no longer exist.
func subsets(ids []string, targets, size, maxInstances, stale int) (map[string][]int, int) {
	random := rand.New(rand.NewPCG(uint64(stale), 8))
	var addresses []string
	for i := range targets {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:80", i))
	}
	result, counts := map[string][]int{}, make([]int, targets)
	for _, id := range ids {
		list := slices.Clone(ids)
		for range stale {
			list[random.IntN(len(list))] = fmt.Sprint("gone-", random.Uint64())
		}
		result[id] = (&Subsetter{Self: id, Instances: list, MaxInstances: maxInstances}).Subset(addresses, size)
		for _, target := range result[id] {
			counts[target]++
		}
	}
	return result, slices.Max(counts)
}

// newConnections counts the targets that instances in both maps use after but not before a change, not counting target
// except.
func newConnections(before, after map[string][]int, except int) int {
	count := 0
	for id, subset := range before {
		for _, target := range after[id] {
			if target != except && !slices.Contains(subset, target) {
				count++
			}
		}
	}
	return count
}

// Guards against exceeding the connection limit of a target: instances with the same list stay within it, whatever their
// ids are, and instances whose lists contain stale entries exceed it by at most four connections per stale entry. Also
// guards against a join that moves many connections of the others: an instance that joins moves at most one per target,
// and a target that joins at most one per instance.
func TestSubsetLimitsConnectionsPerTarget(t *testing.T) {
	const connections, stale = 250, 5
	for _, instances := range []int{300, 600, 1000} {
		for _, targets := range []int{20, 35} {
			size := targets * connections / instances
			for seed := range uint64(3) {
				ids := make([]string, instances)
				for i := range ids {
					ids[i] = fmt.Sprint("i-", seed, "-", i)
				}
				complete, largest := subsets(ids, targets, size, instances, 0)
				_, halfLargest := subsets(ids[:instances/2], targets, size, instances, 0)
				_, staleLargest := subsets(ids, targets, size, instances, stale)
				if largest > connections || halfLargest > connections || staleLargest > connections+4*stale {
					t.Errorf("%d instances, %d targets: a target has %d connections with complete lists, %d with half of the instances, %d with stale lists", instances, targets, largest, halfLargest, staleLargest)
				}
				beforeJoin, _ := subsets(ids[1:], targets, size, instances, 0)
				withTarget, _ := subsets(ids, targets+1, size, instances, 0)
				byInstance, byTarget := newConnections(beforeJoin, complete, -1), newConnections(complete, withTarget, targets)
				if byInstance > targets || byTarget > instances {
					t.Errorf("%d instances, %d targets: a joining instance moved %d connections, a joining target %d", instances, targets, byInstance, byTarget)
				}
				t.Logf("%d instances, %d targets: at most %d connections, %d with stale lists; moved %d by an instance, %d by a target", instances, targets, largest, staleLargest, byInstance, byTarget)
			}
		}
	}
}
