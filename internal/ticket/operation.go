package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Operation is a started operation. It must be finished with one call of Done, NotRun or Unknown; further calls have no
// effect. It is safe for concurrent use.
type Operation struct {
	table  *table
	serial uint64
	entry  *entry
}

// Done records that a target ran the operation and answered. The answer head is always stored, the answer only if it is
// not nil and within the limits.
func (o *Operation) Done(now time.Duration, answerHead AnswerHead, answer *Answer) {
	o.table.finish(now, o.serial, o.entry, operationResult{state: done, answerHead: answerHead.bounded(), answer: answer})
}

// NotRun records that provably no target ran the operation, and closes its ticket.
func (o *Operation) NotRun(now time.Duration) {
	o.table.finish(now, o.serial, o.entry, operationResult{state: closed})
}

// Unknown records that a target may have run the operation. The reason is returned for repeated requests.
func (o *Operation) Unknown(now time.Duration, failureReason *reason.Reason) {
	o.table.finish(now, o.serial, o.entry, operationResult{state: unknown, failureReason: failureReason})
}
