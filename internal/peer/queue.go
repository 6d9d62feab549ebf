package peer

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// Each instance sends a rumor at most retransmitFactor*bits.Len(fleetSize) times. 3 is the usual factor for
	// gossip; further sends rarely reach an instance that does not know the rumor.
	retransmitFactor = 3
	// maxQueued limits the rumors that are queued for sending.
	maxQueued = 4096
	// rumorBytesPerMessage is the mean size of rumors per message in bytes. An instance sends about 10 messages per
	// second, so that rumors use at most 3 KB/s of the 6 KB/s allowed for control traffic.
	rumorBytesPerMessage = 300
	// joinBytesPerMessage is the part of rumorBytesPerMessage available to rumors of joined members. When the whole
	// fleet starts, nearly every instance already knows them, because starting instances pull the member list.
	joinBytesPerMessage = 200
	// maxByteBudget limits the rumor bytes in one message when unused budget has accumulated.
	maxByteBudget = 4096
)

// queuedRumor is a rumor and the number of messages that contained it.
type queuedRumor struct {
	rumor Rumor
	sends int
	// seq is the insertion order; of rumors with equal sends, the newest is sent first.
	seq uint64
}

// queue holds rumors until each was sent the maximum number of times. It is not safe for concurrent use.
type queue struct {
	items []*queuedRumor
	seq   uint64
	// byteBudget is the number of rumor bytes that the next message may contain.
	byteBudget int
	// joinByteBudget is the part of byteBudget available to rumors of joined members.
	joinByteBudget int
}

// add queues a rumor and replaces a queued one of the same kind and key. If the queue is full, it drops the rumor that
// would be sent last.
func (q *queue) add(r Rumor) {
	q.seq++
	item := &queuedRumor{rumor: r, seq: q.seq}
	q.items = slices.DeleteFunc(q.items, func(old *queuedRumor) bool { return old.rumor.Kind == r.Kind && old.rumor.Key == r.Key })
	q.items = append(q.items, item)
	if len(q.items) > maxQueued {
		slices.SortFunc(q.items, compareQueuedRumors)
		q.items = q.items[:maxQueued]
	}
}

// take returns the rumors for the next message within the byte budget.
func (q *queue) take(fleetSize int) []Rumor {
	q.byteBudget = min(q.byteBudget+rumorBytesPerMessage, maxByteBudget)
	q.joinByteBudget = min(q.joinByteBudget+joinBytesPerMessage, maxByteBudget)
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, compareQueuedRumors)
	limit := retransmitFactor * bits.Len(uint(fleetSize))
	var rumors []Rumor
	for _, item := range q.items {
		cost := item.rumor.estimatedBytes()
		if cost > q.byteBudget {
			break
		}
		if item.rumor.isJoin() {
			if cost > q.joinByteBudget {
				continue
			}
			q.joinByteBudget -= cost
		}
		q.byteBudget -= cost
		item.sends++
		rumors = append(rumors, item.rumor)
	}
	q.items = slices.DeleteFunc(q.items, func(item *queuedRumor) bool { return item.sends >= limit })
	return rumors
}

// compareQueuedRumors orders departures first, because they must reach the fleet within a time limit, then rumors with
// fewer sends, then newer rumors.
func compareQueuedRumors(a, b *queuedRumor) int {
	return cmp.Or(
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.sends, b.sends),
		cmp.Compare(b.seq, a.seq),
	)
}

// priority is 0 for rumors that are sent before all others, else 1.
func (q *queuedRumor) priority() int {
	if q.rumor.Kind == KindDeparture {
		return 0
	}
	return 1
}
