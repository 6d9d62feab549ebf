package header

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// longestRetryAfter bounds the time that is read, so that it does not overflow.
const longestRetryAfter = 365 * 24 * time.Hour

// RetryAfter returns the time in the Retry-After header of an answer, which is a number of seconds, also with a fraction. It returns
// 0 without a positive number. Dates are not read: the clocks of the two machines may differ by more than the time.
func RetryAfter(h *protocol.ResponseHeader) time.Duration {
	text := string(h.Peek("Retry-After"))
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(s, 1) {
		return 0
	}
	if s >= longestRetryAfter.Seconds() {
		return longestRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
