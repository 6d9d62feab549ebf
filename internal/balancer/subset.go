package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank returns the indexes of all targets in the order in which an instance uses them. It is deterministic: targets
// are ranked by a hash of their address and the instance, so that a target that joins or leaves changes few ranks.
func rank(config Config) []int {
	ranked := make([]int, len(config.Targets))
	hashes := make([]uint64, len(config.Targets))
	for i, target := range config.Targets {
		state := xxhash.Sum64String(target.Address) ^ config.Instance*0x9e3779b97f4a7c15
		ranked[i] = i
		hashes[i] = mix(&state)
	}
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	return ranked
}

const (
	// preferredByTarget is the number of targets that an instance uses first, for each target that there is to an
	// instance. The more targets there are to an instance, the more requests it sends to each; with six of 400 targets
	// and 20 instances, p99 in the model at 75 % utilisation is 48.6 instead of 36.6 ms.
	preferredByTarget = 5
	// usersOfTarget is how many instances prefer each target on average when there are fewer targets than instances.
	// With six, for 100 targets and 200 instances, p99 at 90 % utilisation grows from 114 to 155 ms.
	usersOfTarget = 12
	// leastPreferred is the lowest number of preferred targets.
	leastPreferred = 3
	// defaultPreferred is their number for as many targets as instances, or when the number of instances is not known.
	// From 5 to 7 of 20 targets the tail in the model is the same within the spread; below, the load becomes uneven.
	defaultPreferred = 6
	// distantCost is the cost of a target that is not preferred, in requests per slot.
	distantCost = 0.3
	// unknownCost is the further cost of such a target while its load is not known.
	unknownCost = 1.0
)

// PreferredSize returns the number of targets that an instance uses first. The fewer they are, the fresher is what it
// knows of each, and the fewer instances run into a target that has just become slow.
func PreferredSize(targets, instances int) int {
	if instances < 1 {
		return defaultPreferred
	}
	few := min(defaultPreferred, usersOfTarget*targets/instances)
	return max(leastPreferred, few, 1+preferredByTarget*targets/instances)
}

// prefer selects the targets that the instance uses first: a few of those in its availability zone, or a few of all
// when none is there. Policies without limit prefer the whole availability zone.
func (p *engine) prefer(config Config) {
	p.distance = make([]float64, len(config.Targets))
	limit := len(p.members)
	if p.kind.prefers {
		limit = PreferredSize(len(config.Targets), config.Instances)
	}
	local := slices.ContainsFunc(p.members, func(i int) bool { return config.Targets[i].SameZone })
	for _, i := range p.members {
		if len(p.preferred) < limit && config.Targets[i].SameZone == local {
			p.preferred = append(p.preferred, i)
			continue
		}
		p.distance[i] = distantCost
	}
}

// ForInstance returns a builder whose policies use the targets that fall to an instance.
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
