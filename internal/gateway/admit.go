package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/reason"
)

// admit decides whether the call may run now, and may wait until the context ends. The returned function is
// called once, after the answer was written.
func (g *Gateway) admit(ctx context.Context, call *call) (func(), *reason.Reason) {
	admitted, refusal := call.service.Admission.Admit(ctx, call.caller, call.class.Priority, call.class.Long)
	if refusal != nil {
		return nil, refusal
	}
	return func() { admitted.Finish(call.end) }, nil
}

// noteEnd records the end of an attempt for the adaptive limit and the retry budget.
func (call *call) noteEnd(why *reason.Reason) {
	switch why {
	case nil:
		call.end = admission.Answered
		call.service.Retries.Answered()
	case reason.CallerLeft, reason.CallerLeftEarly, reason.DeadlineTooShort:
		call.end = admission.Other
	case reason.TargetShed:
		call.end = admission.Shed
		call.service.Retries.Failed()
	default:
		call.end = admission.Other
		call.service.Retries.Failed()
	}
}
