package gateway

import (
	"context"

	"github.com/basillink/basillink/internal/admission"
	"github.com/basillink/basillink/internal/reason"
)

// admit blocks until the call is admitted, refused, or the context ends. The returned function must be called once, after
// the answer was written, to free the slot.
func (g *Gateway) admit(ctx context.Context, call *call) (func(), *reason.Reason) {
	admitted, refusal := call.service.Admission.Admit(ctx, call.caller, call.class.Priority, call.class.Long)
	if refusal != nil {
		return nil, refusal
	}
	return func() { admitted.Finish(call.lastResult) }, nil
}

// recordResult records the result of an attempt for the adaptive limit and the retry budget. A nil failure means that
// the target answered.
func (call *call) recordResult(failure *reason.Reason) {
	switch failure {
	case nil:
		call.lastResult = admission.Answered
		call.service.Retries.Answered()
	case reason.CallerLeftRunning, reason.CallerLeftEarly, reason.DeadlineTooShort:
		call.lastResult = admission.Other
	case reason.TargetShed:
		call.lastResult = admission.Shed
		call.service.Retries.Failed()
	default:
		call.lastResult = admission.Other
		call.service.Retries.Failed()
	}
}
