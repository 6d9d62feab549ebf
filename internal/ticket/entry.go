package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// state is the state of an operation. A ticket without an entry is unused, closed or expired.
type state uint8

const (
	running state = iota
	done
	unknown
	// closed means that the operation was not run and will never be run with this ticket.
	closed
)

// entry is the state of one operation in the table. It is protected by table.mu.
type entry struct {
	digest Digest
	issued time.Duration
	state  state
	// failureReason is the reason of an unknown outcome.
	failureReason *reason.Reason
	// answerHead describes the answer of a done operation, also if the answer is not stored.
	answerHead AnswerHead
	// answer is the stored answer of a done operation, or nil if it is not stored.
	answer *Answer
	// finished is closed when the operation is no longer running. It is nil for an operation that was never started.
	finished chan struct{}
}

// decideRepeat decides how to handle another request with the same ticket.
func (e *entry) decideRepeat(digest Digest) Decision {
	if e.state == closed {
		return refusal(reason.TicketClosed)
	}
	if e.digest != digest {
		return refusal(reason.TicketMismatch)
	}
	switch e.state {
	case running:
		return Decision{Action: Wait, Finished: e.finished}
	case done:
		if e.answer == nil {
			return Decision{Action: Refuse, Reason: reason.AnswerNotKept, AnswerHead: e.answerHead}
		}
		return Decision{Action: Replay, Answer: e.answer}
	default:
		return refusal(e.failureReason)
	}
}

// serialHeap is a min-heap of serials. Serials are in the order of issue times. It implements heap.Interface.
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
