package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// turns shares out the checks of departed targets. Time is divided into slots, and in each slot one instance checks a
// target, which every instance works out from its own list of instances. Where lists differ or clocks are apart, a
// slot passes unused or is used twice.
type turns struct {
	self    string
	members []string
	slot    int64
}

// slotAt returns the slot of a wall-clock time. A clock that jumps only moves the turns.
func slotAt(now time.Time) int64 { return now.UnixNano() / int64(returnInterval) }

// due reports whether it is the turn of this instance. The instance with the highest hash has the turn, so that a
// frozen instance is followed by another one in the next slot.
func (t *turns) due(address string) bool {
	own := t.rank(t.self, address)
	for _, id := range t.members {
		if id != t.self && t.rank(id, address) > own {
			return false
		}
	}
	return true
}

func (t *turns) rank(id, address string) uint64 {
	return xxhash.Sum64String(id + " " + address + " " + strconv.FormatInt(t.slot, 10))
}
