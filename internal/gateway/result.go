package gateway

import (
	"cmp"

	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/internal/ticket"
	"github.com/basillink/basillink/internal/transport"
)

// result is the result of a call or of one attempt: the answer of a target, a stored answer, or the reason why there is
// none. It is used by one goroutine.
type result struct {
	// failureReason is nil if a target answered.
	failureReason *reason.Reason
	// answer is the answer of a target. It is nil if failureReason is set. Its body was completely read unless it is
	// longer than maxBufferedAnswerBytes.
	answer *transport.Answer
	// storedAnswer is the answer to an earlier request with the same ticket.
	storedAnswer *ticket.Answer
	// answerHead describes the target's answer to an earlier request with the same ticket if that answer is not stored.
	answerHead ticket.AnswerHead
	// fromOwner is true if answer comes from the instance that issued the ticket and not from a target.
	fromOwner bool
	// outcomeOverride replaces the outcome that follows from failureReason, unless it is empty.
	outcomeOverride reason.Outcome
	// cause is the underlying error, for logs.
	cause error
	// onFinish is called once when the exchange with the target has ended, with the error that broke off a stream. It may
	// be nil.
	onFinish func(err error)
}

// newRefusal returns a result without an answer.
func newRefusal(failureReason *reason.Reason) *result {
	return &result{failureReason: failureReason, cause: failureReason}
}

// outcome returns the outcome that is reported to the caller.
func (r *result) outcome() reason.Outcome {
	if r.outcomeOverride == "" && r.failureReason != nil {
		return r.failureReason.Outcome
	}
	return cmp.Or(r.outcomeOverride, reason.Done)
}

// finish calls onFinish. Further calls have no effect.
func (r *result) finish(err error) {
	if r.onFinish != nil {
		r.onFinish(err)
		r.onFinish = nil
	}
}

// release releases the buffers of the answer and cancels a stream that was not read completely. The result must not be
// used afterwards.
func (r *result) release() {
	if r.answer != nil {
		r.answer.Close()
		r.answer = nil
	}
	r.finish(nil)
}
