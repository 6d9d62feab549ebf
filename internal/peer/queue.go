package peer

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// sendsFactor times the logarithm of the fleet's size bounds how often one instance sends a rumor. Three is
	// the usual factor; more than that hardly reaches anyone who does not know the rumor.
	sendsFactor = 3
	// maxQueued bounds the rumors that wait to be sent.
	maxQueued = 4096
	// rumorBytesPerMessage is the long-term share of rumors in a message. An instance sends about 10 messages a
	// second, so that rumors cost at most 3 KB/s of the stated 6 KB/s.
	rumorBytesPerMessage = 300
	// joinBytesPerMessage is the share of members that joined. After a start of the whole fleet hardly anyone misses
	// these rumors, because instances that start pull the list of members.
	joinBytesPerMessage = 200
	// maxRumorBytes bounds the rumors of one message after a quiet time.
	maxRumorBytes = 4096
)

type queued struct {
	rumor Rumor
	sends int
	// serial orders rumors with equal sends; the latest goes first.
	serial uint64
}

// queue holds rumors until each was sent a bounded number of times.
type queue struct {
	items     []*queued
	serial    uint64
	allowance int
	// joins is what is left of the allowance for members that joined.
	joins int
}

// add queues a rumor in place of an older one of the same kind and key.
func (q *queue) add(r Rumor) {
	q.serial++
	item := &queued{rumor: r, serial: q.serial}
	q.items = slices.DeleteFunc(q.items, func(old *queued) bool { return old.rumor.Kind == r.Kind && old.rumor.Key == r.Key })
	q.items = append(q.items, item)
	if len(q.items) > maxQueued {
		slices.SortFunc(q.items, compareQueued)
		q.items = q.items[:maxQueued]
	}
}

// take returns the rumors for the next message.
func (q *queue) take(fleet int) []Rumor {
	q.allowance = min(q.allowance+rumorBytesPerMessage, maxRumorBytes)
	q.joins = min(q.joins+joinBytesPerMessage, maxRumorBytes)
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, compareQueued)
	limit := sendsFactor * bits.Len(uint(fleet))
	var rumors []Rumor
	for _, item := range q.items {
		cost := item.rumor.bytes()
		if cost > q.allowance {
			break
		}
		if item.rumor.join() {
			if cost > q.joins {
				continue
			}
			q.joins -= cost
		}
		q.allowance -= cost
		item.sends++
		rumors = append(rumors, item.rumor)
	}
	q.items = slices.DeleteFunc(q.items, func(item *queued) bool { return item.sends >= limit })
	return rumors
}

// compareQueued puts departures first, because they have a stated target, then rumors that were sent less, then
// later ones.
func compareQueued(a, b *queued) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.sends, b.sends),
		cmp.Compare(b.serial, a.serial),
	)
}

func (q *queued) rank() int {
	if q.rumor.Kind == KindDeparture {
		return 0
	}
	return 1
}
