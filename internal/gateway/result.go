package gateway

import (
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/reason"
)

// result is what came out of a call or of one attempt: the answer of a target, or a reason why there is none.
type result struct {
	// why is nil when a target answered.
	why *reason.Reason
	// response is the answer of a target. It is nil when why is set.
	response *protocol.Response
	// cause is the error behind why, for logs.
	cause error
}

func refused(why *reason.Reason) *result { return &result{why: why, cause: why} }

// release returns the buffers of the answer. The result must not be used afterwards.
func (r *result) release() {
	if r.response != nil {
		protocol.ReleaseResponse(r.response)
		r.response = nil
	}
}
