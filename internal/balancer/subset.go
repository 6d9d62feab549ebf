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
	// preferredSize is the number of targets that an instance uses first. The fewer they are, the fresher is what it
	// knows of each, and the fewer instances run into a target that has just become slow. From 5 to 7 of 20 targets
	// the tail in the model is the same within the spread; below, the load becomes uneven.
	preferredSize = 6
	// distantCost is the cost of a target that is not preferred, in requests per slot.
	distantCost = 0.3
	// unknownCost is the further cost of such a target while its load is not known.
	unknownCost = 1.0
)

// prefer selects the targets that the instance uses first: a few of those in its availability zone, or a few of all
// when none is there. Policies without limit prefer the whole availability zone.
func (p *engine) prefer(config Config) {
	p.distance = make([]float64, len(config.Targets))
	limit := len(p.members)
	if p.kind.prefers {
		limit = preferredSize
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
