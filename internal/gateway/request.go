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

// buildRequest copies the caller's request without the headers that concern its connection or belong to the protocol.
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
		if passesToTarget(key) && !slices.Contains(options, string(key)) {
			header.AddToRequest(&request.Header, key, value)
		}
	})
	request.SetBodyRaw(call.request.Body())
}

// addProtocolHeaders adds what the target is told about this dispatch. The remaining time is rounded down, so that the
// target does not start a request whose caller has given up.
func addProtocolHeaders(request *protocol.Request, call *call, runID string, remaining time.Duration) {
	request.Header.Set(header.TimeoutMS, strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set(header.Attempts, strconv.Itoa(call.attempts))
	request.Header.Set(header.RunID, runID)
}
