package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/header"
)

// buildRequest copies the caller's request, except hop-by-hop and reserved headers, and sets the host to the address.
func buildRequest(request *protocol.Request, call *call, address string) {
	source := &call.request.Header
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethodBytes(source.Method())
	request.Header.SetRequestURI(call.uri)
	request.Header.SetHost(address)
	lines := source.RawHeaders()
	options := framing.ConnectionOptions(lines)
	framing.Visit(lines, func(key, value []byte) {
		utils.NormalizeHeaderKey(key, false)
		if forwardedToTarget(key) && !slices.Contains(options, string(key)) {
			header.AddToRequest(&request.Header, key, value)
		}
	})
	request.SetBodyRaw(call.request.Body())
}

// addProtocolHeaders adds the remaining time, the number of attempts and the run id. The remaining time is rounded down to
// milliseconds, so that the target does not start a request whose deadline has passed.
func addProtocolHeaders(request *protocol.Request, call *call, runID string, remaining time.Duration) {
	request.Header.Set(header.TimeoutMS, strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set(header.Attempts, strconv.Itoa(call.attemptsLeft))
	request.Header.Set(header.RunID, runID)
}
