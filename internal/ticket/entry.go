package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// state is the state of an operation. A ticket without an entry is issued, closed or expired.
type state uint8

const (
	running state = iota
	done
	unknown
	// closed means that the operation was not run and will not be run with this ticket.
	closed
)

// entry is one operation in the table.
type entry struct {
	digest Digest
	issued time.Duration
	state  state
	// why is the reason of an unknown outcome.
	why *reason.Reason
	// head is the head of the answer of a done operation. It stays when the answer is not kept.
	head AnswerHead
	// answer is the kept answer of a done operation, or nil.
	answer *Answer
	// settled is closed when the operation is no longer running.
	settled chan struct{}
}

// repeat decides about a further request with the ticket of an entry.
func (e *entry) repeat(digest Digest) Decision {
	if e.state == closed {
		return refuse(reason.TicketClosed)
	}
	if e.digest != digest {
		return refuse(reason.TicketMismatch)
	}
	switch e.state {
	case running:
		return Decision{Action: Wait, Finished: e.settled}
	case done:
		if e.answer == nil {
			return Decision{Action: Refuse, Reason: reason.AnswerNotKept, Head: e.head}
		}
		return Decision{Action: Replay, Answer: e.answer}
	default:
		return refuse(e.why)
	}
}

// serialHeap orders entries by serial, which is also the order of their issue times. It implements heap.Interface.
type serialHeap []uint64

func (h serialHeap) Len() int           { return len(h) }
func (h serialHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h serialHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *serialHeap) Push(x any) { *h = append(*h, x.(uint64)) }

// Pop implements heap.Interface.
func (h *serialHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
