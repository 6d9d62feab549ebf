package header

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// maxRetryAfter caps the parsed time, so that it cannot overflow a time.Duration.
const maxRetryAfter = 365 * 24 * time.Hour

// RetryAfter parses the Retry-After header of an answer as a number of seconds, which may have a fraction. It returns 0 if
// the header is missing or not a positive number. Dates are ignored because the clocks of the two hosts may differ by more
// than the time to wait.
func RetryAfter(h *protocol.ResponseHeader) time.Duration {
	text := string(h.Peek("Retry-After"))
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		return 0
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
