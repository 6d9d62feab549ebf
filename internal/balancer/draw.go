package balancer

import "slices"

// drawing draws the candidates of one choice. It allocates nothing.
type drawing struct {
	p     *engine
	req   *Request
	state uint64
}

// maxRedraws bounds the random search for a target that may be chosen. A scan follows.
const maxRedraws = 8

// next returns the candidate of rank k, or false when every target is excluded. The last regular candidate and
// those of a spill come from all targets, the others from the preferred ones. A retry draws from all targets, because
// a lost availability zone takes the preferred ones away together.
func (d *drawing) next(k int) (int, bool) {
	list := d.p.members
	if len(d.p.preferred) > 0 && len(d.req.Excluded) == 0 && (k == 0 || k < d.p.kind.draws-1) {
		list = d.p.preferred
	}
	return d.from(list)
}

// from draws from a list.
func (d *drawing) from(list []int) (int, bool) {
	if len(list) == 0 {
		return 0, false
	}
	for range maxRedraws {
		if candidate := list[d.position(len(list))]; d.permitted(candidate, true) {
			return candidate, true
		}
	}
	return d.scan()
}

func (d *drawing) position(n int) int {
	if d.p.kind.rotate {
		return int(d.p.turn.Add(1) % uint64(n))
	}
	return below(&d.state, n)
}

// scan looks at every target, first for one that is not ejected.
func (d *drawing) scan() (int, bool) {
	n := len(d.p.members)
	offset := below(&d.state, n)
	for _, strict := range []bool{true, false} {
		for i := range n {
			if candidate := d.p.members[(i+offset)%n]; d.permitted(candidate, strict) {
				return candidate, true
			}
		}
	}
	return 0, false
}

// fallback is the power of two choices on own requests in flight. The first choice is drawn already.
func (d *drawing) fallback(first int) int {
	second, _ := d.from(d.p.members)
	if d.p.ownCost(second, d.req.Now) < d.p.ownCost(first, d.req.Now) {
		return second
	}
	return first
}

// permitted reports whether a target may be chosen. Strict respects ejection and ramps besides exclusion.
// An idle target in a ramp wins every choice that draws it, so the share is divided by the number of draws.
func (d *drawing) permitted(candidate int, strict bool) bool {
	if slices.Contains(d.req.Excluded, candidate) {
		return false
	}
	if !strict {
		return true
	}
	c := d.p.cells[candidate]
	if !d.p.admitted(c, d.req.Now) {
		return false
	}
	share := rampShare(c, d.req.Now)
	return share >= 1 || uniform(&d.state) < share/float64(d.p.kind.draws+d.p.kind.spills)
}

// below returns a number below n and advances the state.
func below(state *uint64, n int) int {
	return int((mix(state) >> 32) * uint64(n) >> 32)
}

// uniform returns a number in [0, 1) and advances the state.
func uniform(state *uint64) float64 {
	return float64(mix(state)>>11) / (1 << 53)
}

// mix is a step of splitmix64.
func mix(state *uint64) uint64 {
	*state += 0x9e3779b97f4a7c15
	z := *state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
