package ticket

import (
	"container/heap"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// table holds the started operations and the closed tickets of one incarnation. It is safe for concurrent use.
type table struct {
	limits Limits

	mu sync.Mutex
	// now is the latest time passed to any method. Times may arrive out of order. An earlier time must not make an expired
	// ticket usable again after its entry was removed.
	now        time.Duration
	lastSerial uint64
	entries    map[uint64]*entry
	// finishedSerials holds the serials of done and unknown entries, closedSerials those of closed entries.
	finishedSerials serialHeap
	closedSerials   serialHeap
	// closedThrough is a watermark: tickets up to this serial that have no entry are closed. It stands for the closed
	// entries that were evicted from a full table.
	closedThrough uint64
	// storedSerials lists the serials with a stored answer, the oldest first.
	storedSerials []uint64
	storedBytes   int
	stopping      bool
}

func newTable(limits Limits) *table {
	return &table{limits: limits, entries: map[uint64]*entry{}}
}

// issue returns the serial and the issue time of a new ticket, or false if the instance is stopping.
func (t *table) issue(now time.Duration) (uint64, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return 0, 0, false
	}
	t.advance(now)
	t.lastSerial++
	return t.lastSerial, t.now, true
}

// begin decides how to handle a request with an authentic ticket. It starts the operation if the ticket is unused.
func (t *table) begin(now time.Duration, ticket *Ticket, digest Digest) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e := t.entries[ticket.Serial]; e != nil {
		return e.decideRepeat(digest)
	}
	if t.expired(ticket.Issued) {
		return refusal(reason.TicketExpired)
	}
	if t.stopping {
		t.close(ticket)
		return refusal(reason.NotReady)
	}
	if ticket.Serial <= t.closedThrough {
		return refusal(reason.TicketClosed)
	}
	if !t.makeRoom() {
		t.closedThrough = max(t.closedThrough, ticket.Serial)
		return refusal(reason.TicketTableFull)
	}
	e := &entry{digest: digest, issued: ticket.Issued, state: running, finished: make(chan struct{})}
	t.entries[ticket.Serial] = e
	return Decision{Action: Run, Operation: &Operation{table: t, serial: ticket.Serial, entry: e}}
}

// closeUnused closes an authentic ticket if it is unused. It reports whether the operation was provably not run and will
// never be run.
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

// close closes a ticket that has no entry and has not expired. The caller must hold t.mu.
func (t *table) close(ticket *Ticket) {
	if ticket.Serial <= t.closedThrough {
		return
	}
	if !t.makeRoom() {
		t.closedThrough = ticket.Serial
		return
	}
	t.entries[ticket.Serial] = &entry{issued: ticket.Issued, state: closed}
	heap.Push(&t.closedSerials, ticket.Serial)
}

// operationResult is the final state of an operation.
type operationResult struct {
	state         state
	failureReason *reason.Reason
	answerHead    AnswerHead
	answer        *Answer
}

// finish records the result of a running operation and wakes the requests that wait for it.
func (t *table) finish(now time.Duration, serial uint64, e *entry, result operationResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != running {
		return
	}
	e.state, e.failureReason, e.answerHead = result.state, result.failureReason, result.answerHead
	close(e.finished)
	if result.state == closed {
		heap.Push(&t.closedSerials, serial)
	} else {
		heap.Push(&t.finishedSerials, serial)
	}
	if result.answer != nil {
		t.storeAnswer(serial, e, result.answer)
	}
	t.advance(now)
}

// storeAnswer stores an answer and drops the oldest stored answers beyond the limit. Their outcomes stay in the table. The
// caller must hold t.mu.
func (t *table) storeAnswer(serial uint64, e *entry, answer *Answer) {
	size := answer.size()
	if size > t.limits.AnswerBytes || size > t.limits.StoredBytes {
		return
	}
	for t.storedBytes+size > t.limits.StoredBytes {
		oldest := t.storedSerials[0]
		t.storedSerials = t.storedSerials[1:]
		t.dropAnswer(t.entries[oldest])
	}
	e.answer = answer
	t.storedSerials = append(t.storedSerials, serial)
	t.storedBytes += size
}

// dropAnswer drops the stored answer of an entry, if any. The caller must hold t.mu.
func (t *table) dropAnswer(e *entry) {
	if e != nil && e.answer != nil {
		t.storedBytes -= e.answer.size()
		e.answer = nil
	}
}

// makeRoom reports whether another entry fits into the table. If necessary, it evicts the oldest closed entry, which stays
// closed by closedThrough. The caller must hold t.mu.
func (t *table) makeRoom() bool {
	if len(t.entries) < t.limits.Entries {
		return true
	}
	if len(t.closedSerials) == 0 {
		return false
	}
	serial := heap.Pop(&t.closedSerials).(uint64)
	t.closedThrough = max(t.closedThrough, serial)
	delete(t.entries, serial)
	return true
}

// advance advances the clock and removes the entries whose tickets have expired. The caller must hold t.mu.
func (t *table) advance(now time.Duration) {
	t.now = max(t.now, now)
	t.expire(&t.finishedSerials)
	t.expire(&t.closedSerials)
}

// expire removes the expired entries of one heap. The caller must hold t.mu.
func (t *table) expire(serials *serialHeap) {
	for len(*serials) > 0 && t.expired(t.entries[(*serials)[0]].issued) {
		serial := heap.Pop(serials).(uint64)
		t.dropAnswer(t.entries[serial])
		delete(t.entries, serial)
	}
}

func (t *table) expired(issued time.Duration) bool { return t.now-issued >= t.limits.Lifetime }
