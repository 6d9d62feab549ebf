package edge

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/telemetry"
)

// observeCrashes exports what happened to requests that lost their answer and to the marks of those that crashed targets.
func observeCrashes(m *telemetry.Metrics, read func() crashguard.Stats) error {
	return m.ObserveCounter("basillink.crash_marks",
		"Requests that lost their answer, those of them that count as a crash, marks ended by an answer, and marks that peers told.",
		func() []telemetry.Labeled {
			s := read()
			return []telemetry.Labeled{
				crashEvent("lost", s.Losses), crashEvent("crashed", s.Crashes), crashEvent("cleared", s.Cleared), crashEvent("learnt", s.Learnt),
			}
		})
}

func crashEvent(event string, count int64) telemetry.Labeled {
	return telemetry.Labeled{Labels: []attribute.KeyValue{attribute.String("event", event)}, Value: count}
}
