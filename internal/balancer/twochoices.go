package balancer

import (
	"slices"
	"sync/atomic"
	"time"
)

// TwoChoices builds policies that draw two targets at random and take the one
// with fewer requests in flight from this instance.
type TwoChoices struct{}

// Name implements Builder.
func (TwoChoices) Name() string { return "two_choices" }

// Build implements Builder.
func (TwoChoices) Build(config Config, previous Policy) Policy {
	p := &twoChoices{
		index:    make(map[string]int, len(config.Targets)),
		inFlight: make([]*atomic.Int64, len(config.Targets)),
	}
	old, _ := previous.(*twoChoices)
	for i, target := range config.Targets {
		p.index[target.Address] = i
		p.inFlight[i] = old.counter(target.Address)
	}
	return p
}

type twoChoices struct {
	index    map[string]int
	inFlight []*atomic.Int64
}

func (p *twoChoices) counter(address string) *atomic.Int64 {
	if p != nil {
		if i, ok := p.index[address]; ok {
			return p.inFlight[i]
		}
	}
	return new(atomic.Int64)
}

// maxDraws bounds the search for targets that are not excluded.
const maxDraws = 8

// Pick implements Policy.
func (p *twoChoices) Pick(req Request) (int, bool) {
	first, ok := p.draw(req, uint32(req.Random))
	if !ok {
		return 0, false
	}
	second, _ := p.draw(req, uint32(req.Random>>32))
	if p.inFlight[second].Load() < p.inFlight[first].Load() {
		return second, true
	}
	return first, true
}

func (p *twoChoices) draw(req Request, random uint32) (int, bool) {
	n := len(p.inFlight)
	for i := range min(maxDraws, n) {
		candidate := int(uint64(random)*uint64(n)>>32) + i
		candidate %= n
		if !slices.Contains(req.Excluded, candidate) {
			return candidate, true
		}
	}
	return 0, false
}

// Started implements Policy.
func (p *twoChoices) Started(target int, _ time.Duration) { p.inFlight[target].Add(1) }

// Finished implements Policy.
func (p *twoChoices) Finished(target int, _ Result) { p.inFlight[target].Add(-1) }

// Probed implements Policy.
func (p *twoChoices) Probed(int, Probe) {}
