package inbound

import (
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
)

const (
	// receiveBytes is what a request needs until it has been read, besides a long head or body: the buffer of its connection, the
	// head and a short body.
	receiveBytes = 32 << 10
	// RequestBytes is what a request needs besides long bodies: the buffers of its two connections, the head, the buffer for
	// streaming and the stacks of its goroutines.
	RequestBytes = 96 << 10
)

// ReadCounted is like ReadRequest, but allocates what the request needs from a budget before it is held. It also returns what the
// request holds, which the caller must close. Without memory for a request, only its head is read.
func (l Limits) ReadCounted(c *app.RequestContext, budget *membudget.Budget) (*membudget.Grant, *Refusal) {
	memory := budget.OpenEmpty()
	l.Memory = memory
	if !l.Conn.Grow(memory, receiveBytes, membudget.ForRequest) {
		if refusal := l.ReadHead(c); refusal != nil {
			return memory, refusal
		}
		return memory, refuse(reason.MemoryFull)
	}
	if refusal := l.ReadRequest(c); refusal != nil {
		return memory, refusal
	}
	if !l.Conn.Grow(memory, RequestBytes-receiveBytes, membudget.ForRequest) {
		return memory, refuse(reason.MemoryFull)
	}
	return memory, nil
}
