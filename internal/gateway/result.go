package gateway

import (
	"cmp"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/ticket"
	"github.com/basillink/basillink/internal/transport"
)

// result is what came out of a call or of one attempt: the answer of a target, or a reason why there is none. It is
// used by one goroutine.
type result struct {
	// why is nil when a target answered.
	why *reason.Reason
	// answer is the answer of a target. It is nil when why is set. Its body is whole unless it is longer than
	// wholeAnswerBytes.
	answer *transport.Answer
	// kept is the answer of an earlier request with the same ticket.
	kept *ticket.Answer
	// head tells of the target's answer to an earlier request with the same ticket when that answer is not kept.
	head ticket.AnswerHead
	// fromOwner means that answer comes from the instance that issued the ticket and not from a target.
	fromOwner bool
	// claim replaces what is told about the execution, unless it is empty.
	claim reason.Outcome
	// cause is the error behind why, for logs.
	cause error
	// ended is called once when the exchange with the target has ended. It may be nil.
	ended func(err error)
}

func refused(why *reason.Reason) *result { return &result{why: why, cause: why} }

// outcome is what the caller is told about the execution.
func (r *result) outcome() reason.Outcome {
	if r.claim == "" && r.why != nil {
		return r.why.Outcome
	}
	return cmp.Or(r.claim, reason.Done)
}

// end reports the end of the exchange.
func (r *result) end(err error) {
	if r.ended != nil {
		r.ended(err)
		r.ended = nil
	}
}

// release returns the buffers of the answer and cancels a stream that was not read to its end. The result must not be
// used afterwards.
func (r *result) release() {
	if r.answer != nil {
		r.answer.Close()
		r.answer = nil
	}
	r.end(nil)
}
