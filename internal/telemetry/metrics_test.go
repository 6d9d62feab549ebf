package telemetry

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/reason"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

func newMetrics(t *testing.T) *Metrics {
	t.Helper()
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against counters that are created at the first occurrence of a reason, which hides the first increase in a rate.
func TestCountersOfAllReasonsStartAtZero(t *testing.T) {
	text := scrape(t, newMetrics(t))
	for _, r := range reason.All() {
		name := "basillink_refusals_total"
		if r.Kind == reason.Retry {
			name = "basillink_retries_total"
		}
		if line := name + `{reason="` + r.Name + `",service=""} 0`; !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
}

// Guards against a split whose choices cannot be told from the metrics.
func TestSplitChoicesAreCounted(t *testing.T) {
	m := newMetrics(t)
	m.SplitChosen("uploads", "store-a")
	m.SplitChosen("uploads", "store-a")
	m.SplitChosen("uploads", "store-b")
	text := scrape(t, m)
	for _, line := range []string{
		`basillink_split_requests_total{route="uploads",service="store-a"} 2`, `basillink_split_requests_total{route="uploads",service="store-b"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
}

// Guards against a time series for each nonexistent service that callers request.
func TestUnknownServicesShareOneCounter(t *testing.T) {
	m := newMetrics(t)
	m.Refused("invented-1", reason.UnknownService)
	m.Refused("invented-2", reason.UnknownService)
	m.Refused("flightdesk", reason.Overloaded)
	text := scrape(t, m)
	if strings.Contains(text, "invented") || !strings.Contains(text, `{reason="unknown_service",service=""} 2`) {
		t.Errorf("unknown services:\n%s", text)
	}
	if !strings.Contains(text, `basillink_refusals_total{reason="overloaded",service="flightdesk"} 1`) {
		t.Error("a known service is not counted by name")
	}
}

// Guards against gauges that are read only once, and against an added time in the wrong unit.
func TestGaugesAndAddedTime(t *testing.T) {
	m := newMetrics(t)
	revision, ready := int64(7), false
	err := m.RegisterObservables(Observables{
		InFlight:      func() int64 { return 3 },
		Revision:      func() int64 { return revision },
		Ready:         func() bool { return ready },
		DroppedEvents: func() int64 { return 5 },
	})
	if err != nil {
		t.Fatal(err)
	}
	scrape(t, m)
	revision, ready = 8, true
	m.AddedLatency(650 * time.Microsecond)
	text := scrape(t, m)
	for _, line := range []string{
		"basillink_revision 8", "basillink_ready 1", "basillink_requests_in_flight 3", "basillink_dropped_events 5",
		`basillink_added_time_seconds_bucket{le="0.0006"} 0`, `basillink_added_time_seconds_bucket{le="0.0007"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s in\n%s", line, text)
		}
	}
}

// Guards against log entries without the prefix of the component, and against errors that split an entry into several
// lines.
func TestLogEntries(t *testing.T) {
	var out bytes.Buffer
	log := Component(NewLogger(&out, "info", "text"), "reader").With("instance", "i1")
	log.Debug("Not logged.")
	log.Warn("Cannot read the log.", "error", trace.Wrap(errors.New("refused"), "GET /records"))
	text := out.String()
	if strings.Count(text, "\n") != 1 || !strings.Contains(text, `msg="reader: Cannot read the log."`) ||
		!strings.Contains(text, `error="GET /records: refused"`) || !strings.Contains(text, "instance=i1") {
		t.Errorf("got %s", text)
	}
}

// Guards against log lines that are as long as a caller makes the id of its request, and against a stack that is cut to the
// length of other attributes.
func TestLogValuesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, "info", "json")
	long := strings.Repeat("x", 64<<10)
	log.Info(long[:100], "request", long, "error", errors.New(long), "list", []string{"a"})
	if out.Len() > 4*maxValueBytes || !strings.Contains(out.String(), "(65536 bytes)") {
		t.Errorf("a line of %d bytes", out.Len())
	}
	out.Reset()
	log.Error("Recovered from a panic.", "stack", long[:4<<10])
	if out.Len() < 4<<10 {
		t.Error("the stack is cut")
	}
}

// Guards against lines of the HTTP library that are logged at the wrong level.
func TestServerLog(t *testing.T) {
	var out bytes.Buffer
	adapter := &serverLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	adapter.Infof("listening on %s", "x")
	adapter.Warnf("odd %d", 1)
	adapter.Error("bad")
	text := out.String()
	if strings.Contains(text, "listening") || !strings.Contains(text, `level=WARN msg="odd 1"`) || !strings.Contains(text, "level=ERROR msg=bad") {
		t.Errorf("got %s", text)
	}
}
