package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/uuid"

	"github.com/basillink/basillink/internal/header"
)

// buildRequest copies the caller's request without headers that concern its connection only.
func buildRequest(ctx context.Context, request *protocol.Request, call *call, address string) {
	call.request.Header.CopyTo(&request.Header)
	for _, name := range header.HopByHop() {
		request.Header.Del(name)
	}
	request.Header.SetRequestURI(call.uri)
	request.Header.SetHost(address)
	request.SetBodyRaw(call.request.Body())
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		request.Header.Set(header.TimeoutMS, strconv.FormatInt(remaining, 10))
	}
	request.Header.Set(header.Attempts, strconv.Itoa(call.attempts))
	request.Header.Set(header.RunID, uuid.NewString())
}
