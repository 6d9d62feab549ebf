package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Operation is a started operation. Its holder ends it with one call of Done, NotRun or Unknown; further calls
// have no effect. It is safe for concurrent use.
type Operation struct {
	table  *table
	serial uint64
	entry  *entry
}

// Done records that a target ran the operation and answered. The head is always kept, the answer within the limits
// unless it is nil.
func (o *Operation) Done(now time.Duration, head AnswerHead, answer *Answer) {
	o.table.settle(now, o.serial, o.entry, ending{state: done, head: head.bounded(), answer: answer})
}

// NotRun records that provably no target ran the operation, and closes the ticket.
func (o *Operation) NotRun(now time.Duration) {
	o.table.settle(now, o.serial, o.entry, ending{state: closed})
}

// Unknown records that a target may have run the operation.
func (o *Operation) Unknown(now time.Duration, why *reason.Reason) {
	o.table.settle(now, o.serial, o.entry, ending{state: unknown, why: why})
}
