package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// checkSchedule distributes the checks of departed targets over the instances. In each time slot, one instance checks a
// target. Every instance computes the assignment by rendezvous hashing from its own list of live instances. If lists or
// clocks differ, a slot may have no check or several.
type checkSchedule struct {
	selfID  string
	liveIDs []string
	slot    int64
}

// slotAt returns the slot of a wall-clock time. A clock jump only changes the assignment.
func slotAt(now time.Time) int64 { return now.UnixNano() / int64(returnCheckInterval) }

// assigned reports whether this instance checks the target in this slot, which is the case if its score is the highest.
// The score depends on the slot, so that another instance usually takes over from an unresponsive one in the next slot.
func (t *checkSchedule) assigned(address string) bool {
	ownScore := t.score(t.selfID, address)
	for _, id := range t.liveIDs {
		if id != t.selfID && t.score(id, address) > ownScore {
			return false
		}
	}
	return true
}

// score returns the hash of an instance, a target and the slot.
func (t *checkSchedule) score(id, address string) uint64 {
	return xxhash.Sum64String(id + " " + address + " " + strconv.FormatInt(t.slot, 10))
}
