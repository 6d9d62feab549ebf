package ticket

import (
	"container/heap"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// table holds the started and the closed operations of one incarnation. It is safe for concurrent use.
type table struct {
	limits Limits

	mu sync.Mutex
	// now is the latest time seen. Requests may arrive with times out of order; without the maximum an older
	// time could make an expired ticket usable after its entry was removed.
	now     time.Duration
	serial  uint64
	entries map[uint64]*entry
	// settledOrder and closedOrder hold the serials of the done and unknown, and of the closed entries.
	settledOrder serialHeap
	closedOrder  serialHeap
	// closedThrough closes every ticket up to this serial that has no entry. It replaces closed entries for
	// which there is no room.
	closedThrough uint64
	// kept lists the serials with a kept answer, the oldest first.
	kept      []uint64
	keptBytes int
	stopping  bool
}

func newTable(limits Limits) *table {
	return &table{limits: limits, entries: map[uint64]*entry{}}
}

// issue returns the serial and the issue time of a new ticket, or false when the instance is stopping.
func (t *table) issue(now time.Duration) (uint64, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return 0, 0, false
	}
	t.advance(now)
	t.serial++
	return t.serial, t.now, true
}

// begin decides about a request with an authentic ticket and starts its operation if it is the first.
func (t *table) begin(now time.Duration, ticket *Ticket, digest Digest) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.entries[ticket.Serial]; e != nil {
		return e.repeat(digest)
	}
	if t.expired(ticket.Issued) {
		return refuse(reason.TicketExpired)
	}
	if t.stopping {
		t.close(ticket)
		return refuse(reason.NotReady)
	}
	if ticket.Serial <= t.closedThrough {
		return refuse(reason.TicketClosed)
	}
	if !t.makeRoom() {
		t.closedThrough = max(t.closedThrough, ticket.Serial)
		return refuse(reason.TicketTableFull)
	}
	e := &entry{digest: digest, issued: ticket.Issued, state: running, settled: make(chan struct{})}
	t.entries[ticket.Serial] = e
	return Decision{Action: Run, Operation: &Operation{table: t, serial: ticket.Serial, entry: e}}
}

// closeUnused closes an authentic ticket and reports true if it proves that its operation was and will not be run.
func (t *table) closeUnused(now time.Duration, ticket *Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.entries[ticket.Serial]; e != nil {
		return e.state == closed
	}
	if t.expired(ticket.Issued) {
		return false
	}
	t.close(ticket)
	return true
}

// close closes a ticket that has no entry and has not expired.
func (t *table) close(ticket *Ticket) {
	if ticket.Serial <= t.closedThrough {
		return
	}
	if !t.makeRoom() {
		t.closedThrough = ticket.Serial
		return
	}
	t.entries[ticket.Serial] = &entry{issued: ticket.Issued, state: closed}
	heap.Push(&t.closedOrder, ticket.Serial)
}

// ending is how an operation ended.
type ending struct {
	state  state
	why    *reason.Reason
	head   AnswerHead
	answer *Answer
}

// settle ends a running operation.
func (t *table) settle(now time.Duration, serial uint64, e *entry, end ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != running {
		return
	}
	e.state, e.why, e.head = end.state, end.why, end.head
	close(e.settled)
	if end.state == closed {
		heap.Push(&t.closedOrder, serial)
	} else {
		heap.Push(&t.settledOrder, serial)
	}
	if end.answer != nil {
		t.keep(serial, e, end.answer)
	}
	t.advance(now)
}

// keep keeps an answer and drops the oldest kept answers beyond the limit. The dropped outcomes stay.
func (t *table) keep(serial uint64, e *entry, answer *Answer) {
	size := answer.size()
	if size > t.limits.AnswerBytes || size > t.limits.StoredBytes {
		return
	}
	for t.keptBytes+size > t.limits.StoredBytes {
		oldest := t.kept[0]
		t.kept = t.kept[1:]
		t.drop(t.entries[oldest])
	}
	e.answer = answer
	t.kept = append(t.kept, serial)
	t.keptBytes += size
}

func (t *table) drop(e *entry) {
	if e != nil && e.answer != nil {
		t.keptBytes -= e.answer.size()
		e.answer = nil
	}
}

// makeRoom reports whether a further entry fits. Closed entries give way: their serials stay closed by the watermark.
func (t *table) makeRoom() bool {
	if len(t.entries) < t.limits.Entries {
		return true
	}
	if len(t.closedOrder) == 0 {
		return false
	}
	serial := heap.Pop(&t.closedOrder).(uint64)
	t.closedThrough = max(t.closedThrough, serial)
	delete(t.entries, serial)
	return true
}

// advance moves the clock forward and removes the entries whose tickets have expired.
func (t *table) advance(now time.Duration) {
	t.now = max(t.now, now)
	t.expire(&t.settledOrder)
	t.expire(&t.closedOrder)
}

func (t *table) expire(order *serialHeap) {
	for len(*order) > 0 && t.expired(t.entries[(*order)[0]].issued) {
		serial := heap.Pop(order).(uint64)
		t.drop(t.entries[serial])
		delete(t.entries, serial)
	}
}

func (t *table) expired(issued time.Duration) bool { return t.now-issued >= t.limits.Lifetime }
