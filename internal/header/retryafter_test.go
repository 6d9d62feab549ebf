package header

import (
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Guards against a wrong backoff: a lost fraction, an overflow, or text that is parsed as a number.
func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1": time.Second, "0.25": 250 * time.Millisecond, "2.5": 2500 * time.Millisecond, ".5": 500 * time.Millisecond, "0": 0, "0.0": 0,
		"": 0, "-1": 0, "-0.5": 0, "NaN": 0, "Inf": 0, "soon": 0, "1s": 0, "1e3": 0, "0x10": 0, "1.2.3": 0, ".": 0, "1,5": 0,
		"99999999999999999999":      maxRetryAfter,
		strings.Repeat("9", 400):    maxRetryAfter,
		"31536000":                  maxRetryAfter,
		"Sat, 05 Dec 2026 07:00:00": 0, "Sat, 05 Dec 2026 07:00:00 GMT": 0,
	} {
		var h protocol.ResponseHeader
		h.Set("Retry-After", text)
		if got := RetryAfter(&h); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
	if got := RetryAfter(&protocol.ResponseHeader{}); got != 0 {
		t.Errorf("without the header: got %s, want 0", got)
	}
}
