package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankTargets returns the indexes of all targets, ordered by a hash of the target's address and of this instance
// (rendezvous hashing). The order is deterministic, and a target that joins or leaves does not reorder the others.
func rankTargets(config Config) []int {
	ranked := make([]int, len(config.Targets))
	hashes := make([]uint64, len(config.Targets))
	for i, target := range config.Targets {
		state := xxhash.Sum64String(target.Address) ^ config.Instance*0x9e3779b97f4a7c15
		ranked[i] = i
		hashes[i] = splitmix64(&state)
	}
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	return ranked
}

const (
	// preferredRatio is the number of preferred targets as a multiple of targets/instances. The more targets there are
	// per instance, the more requests an instance sends to each preferred one if their number is fixed: with only six of
	// 400 targets and 20 instances, p99 in the model at 75 % utilization is 48.6 ms instead of 36.6 ms.
	preferredRatio = 5
	// instancesPerTarget is the average number of instances that prefer a target when there are fewer targets than
	// instances. With 6 instead of 12, for 100 targets and 200 instances, p99 at 90 % utilization grows from 114 ms to
	// 155 ms.
	instancesPerTarget = 12
	// minPreferred is the minimum number of preferred targets.
	minPreferred = 3
	// defaultPreferred is the number of preferred targets when there are as many targets as instances, or when the
	// number of instances is not known. From 5 to 7 of 20 targets the tail latency in the model is the same within the
	// spread of the runs; with fewer than 5 the load becomes uneven.
	defaultPreferred = 6
	// nonPreferredCost is the additional cost of a target that is not preferred, in requests per slot.
	nonPreferredCost = 0.3
	// unknownLoadCost is the further cost of a target that is not preferred while its load is not known, in requests
	// per slot.
	unknownLoadCost = 1.0
)

// PreferredSize returns the number of targets that an instance prefers. With fewer preferred targets, the instance has
// fresher data about each of them, and fewer instances are affected by a target that has just become slow.
func PreferredSize(targets, instances int) int {
	if instances < 1 {
		return defaultPreferred
	}
	base := min(defaultPreferred, instancesPerTarget*targets/instances)
	return max(minPreferred, base, 1+preferredRatio*targets/instances)
}

// selectPreferred selects the targets that this instance prefers: the first few of the ranked targets in its availability
// zone, or of all targets when none is in that zone. Policies without limitsPreferred prefer all targets of the zone.
func (p *samplingPolicy) selectPreferred(config Config) {
	p.preferenceCosts = make([]float64, len(config.Targets))
	limit := len(p.ranked)
	if p.spec.limitsPreferred {
		limit = PreferredSize(len(config.Targets), config.Instances)
	}
	hasLocal := slices.ContainsFunc(p.ranked, func(i int) bool { return config.Targets[i].SameZone })
	for _, i := range p.ranked {
		if len(p.preferred) < limit && config.Targets[i].SameZone == hasLocal {
			p.preferred = append(p.preferred, i)
			continue
		}
		p.preferenceCosts[i] = nonPreferredCost
	}
}

// ForInstance returns a builder whose policies prefer the targets that are assigned to the instance with the given id.
func ForInstance(b Builder, id string) Builder {
	return &instanceBuilder{Builder: b, instance: xxhash.Sum64String(id)}
}

type instanceBuilder struct {
	Builder
	instance uint64
}

// Build implements Builder.
func (b *instanceBuilder) Build(config Config, previous Policy) Policy {
	config.Instance = b.instance
	return b.Builder.Build(config, previous)
}
