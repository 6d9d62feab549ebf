package balancer

import "slices"

// candidateSampler draws the candidates of one call of Pick. It does not allocate.
type candidateSampler struct {
	policy *samplingPolicy
	req    *Request
	// random is the state of the random number generator.
	random uint64
}

// maxResamples is the number of random draws that look for an eligible target before all targets are scanned.
const maxResamples = 8

// next returns candidate number k of a pick, or false when every target is excluded. The last regular candidate and
// the spill candidates are drawn from all targets, the others from the preferred ones. A retry draws from all targets,
// because the failure of an availability zone can take down all preferred targets at the same time.
func (cs *candidateSampler) next(k int) (int, bool) {
	from := cs.policy.ranked
	if len(cs.policy.preferred) > 0 && len(cs.req.Excluded) == 0 && (k == 0 || k < cs.policy.spec.candidates-1) {
		from = cs.policy.preferred
	}
	return cs.sample(from)
}

// sample draws an eligible target from the given indexes, or from all targets when a few draws find none.
func (cs *candidateSampler) sample(from []int) (int, bool) {
	if len(from) == 0 {
		return 0, false
	}
	for range maxResamples {
		if candidate := from[cs.nextPosition(len(from))]; cs.eligible(candidate, true) {
			return candidate, true
		}
	}
	return cs.scan()
}

func (cs *candidateSampler) nextPosition(n int) int {
	if cs.policy.spec.roundRobin {
		return int(cs.policy.rotation.Add(1) % uint64(n))
	}
	return randomBelow(&cs.random, n)
}

// scan returns the first eligible target from a random position on. If there is none, it returns the first target that
// is not excluded, even if it is ejected.
func (cs *candidateSampler) scan() (int, bool) {
	n := len(cs.policy.ranked)
	offset := randomBelow(&cs.random, n)
	for _, strict := range []bool{true, false} {
		for i := range n {
			if candidate := cs.policy.ranked[(i+offset)%n]; cs.eligible(candidate, strict) {
				return candidate, true
			}
		}
	}
	return 0, false
}

// lowerLocalCost draws a second candidate from all targets and returns the one with the lower local cost. It is the
// fallback when no candidate has a usable load report.
func (cs *candidateSampler) lowerLocalCost(first int) int {
	second, _ := cs.sample(cs.policy.ranked)
	if cs.policy.localCost(second, cs.req.Now) < cs.policy.localCost(first, cs.req.Now) {
		return second
	}
	return first
}

// eligible reports whether a target may be picked. Excluded targets never are. If strict is set, ejected targets are not
// eligible either, and ramping ones only with the probability of their share. An idle ramping target wins every
// comparison, so its share is divided by the number of candidates.
func (cs *candidateSampler) eligible(candidate int, strict bool) bool {
	if slices.Contains(cs.req.Excluded, candidate) {
		return false
	}
	if !strict {
		return true
	}
	s := cs.policy.targets[candidate]
	if !cs.policy.notEjected(s, cs.req.Now) {
		return false
	}
	share := rampShare(s, cs.req.Now)
	return share >= 1 || randomFloat(&cs.random) < share/float64(cs.policy.spec.candidates+cs.policy.spec.spillCandidates)
}

// randomBelow returns a random number in [0, n) and advances the state.
func randomBelow(state *uint64, n int) int {
	return int((splitmix64(state) >> 32) * uint64(n) >> 32)
}

// randomFloat returns a random number in [0, 1) and advances the state.
func randomFloat(state *uint64) float64 {
	return float64(splitmix64(state)>>11) / (1 << 53)
}

// splitmix64 advances the state and returns the next number of the SplitMix64 generator.
func splitmix64(state *uint64) uint64 {
	*state += 0x9e3779b97f4a7c15
	z := *state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
