package routes

import (
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
)

// The weights of a split hold for the requests of all instances together, and instances do not tell each other what they chose. A
// large fleet serves only a few requests of a route with each instance, so that not only the frequencies of an instance have to
// follow the weights: the first requests of all instances have to as well, after a start and in each version of the configuration.

// splitSequence is the sequence of points by which an instance chooses the services of a split. The points of any run of it are
// spread evenly. It begins at a random point, and goes on in the next version.
type splitSequence struct{ point atomic.Uint64 }

func newSplitSequence(random *rand.Rand) *splitSequence {
	s := &splitSequence{}
	s.point.Store(random.Uint64())
	return s
}

// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are spread evenly, in short runs too.
const goldenRatioStep = 0x9e3779b97f4a7c15

// next returns the next point, from the whole range of its type.
func (s *splitSequence) next() uint64 { return s.point.Add(goldenRatioStep) }

// setSplitSequences gives each split its sequence: that of the previous table if it has a split of the same name, or a new one.
func (t *Table) setSplitSequences(previous *Table, random *rand.Rand) {
	known := map[string]*splitSequence{}
	if previous != nil {
		for _, entry := range previous.splits {
			known[entry.Name] = entry.sequence
		}
	}
	for _, entry := range t.splits {
		if entry.sequence = known[entry.Name]; entry.sequence == nil {
			entry.sequence = newSplitSequence(random)
		}
	}
}

// Splits returns the routes that distribute their requests over several services. The slice must not be changed.
func (t *Table) Splits() []*Entry { return t.splits }

// IsSplit reports whether the route distributes its requests over several services.
func (e *Entry) IsSplit() bool { return len(e.Split) > 1 }

// NextService chooses the service for the next request.
func (e *Entry) NextService() string {
	share := e.nextShare()
	e.choices[share].Add(1)
	return e.Split[share].Service
}

// nextShare returns the index of the share that the next request belongs to.
func (e *Entry) nextShare() int {
	if !e.IsSplit() {
		return 0
	}
	scaled, _ := bits.Mul64(e.sequence.next(), uint64(e.totalWeight))
	rest := int(scaled)
	for i, share := range e.Split {
		if rest -= share.Weight; rest < 0 {
			return i
		}
	}
	return len(e.Split) - 1
}

// Choices returns for how many requests NextService has chosen each share of the split.
func (e *Entry) Choices() []int64 {
	counts := make([]int64, len(e.choices))
	for i := range e.choices {
		counts[i] = e.choices[i].Load()
	}
	return counts
}
