package edge

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/basillink/basillink/internal/crashguard"
	"github.com/basillink/basillink/internal/telemetry"
)

// crashMarks implements fleet.CrashMarks with the marks of the gateway. It refers to the edge because the gateway is created after
// the node.
type crashMarks struct{ edge *Edge }

// MergeCrashMark implements fleet.CrashMarks.
func (m crashMarks) MergeCrashMark(key string, data []byte) bool {
	return m.edge.gateway.MergeCrashMark(key, data)
}

// CrashDigest implements fleet.CrashMarks.
func (m crashMarks) CrashDigest() uint64 { return m.edge.gateway.CrashDigest() }

// EachCrashMark implements fleet.CrashMarks.
func (m crashMarks) EachCrashMark(add func(key string, data []byte, refused bool)) {
	m.edge.gateway.EachCrashMark(add)
}

// observeCrashes exports counters of lost answers, crashes and crash marks. The function read must be safe for concurrent use.
func observeCrashes(m *telemetry.Metrics, read func() crashguard.Stats) error {
	return m.RegisterObservableCounter("basillink.crash_marks",
		"Requests that lost their answer, those of them that count as a crash, marks ended by an answer, marks that peers told, trials of refused requests, and what was dropped for lack of room or for its age.",
		func() []telemetry.LabeledValue {
			s := read()
			return []telemetry.LabeledValue{
				labeledCrashCount("lost", s.Losses), labeledCrashCount("crashed", s.Crashes), labeledCrashCount("cleared", s.Cleared), labeledCrashCount("learnt", s.FromPeers), labeledCrashCount("trial", s.Trials),
				labeledCrashCount("loss_dropped", s.DroppedLosses), labeledCrashCount("evicted", s.EvictedMarks), labeledCrashCount("expired", s.ExpiredMarks),
			}
		})
}

func labeledCrashCount(event string, count int64) telemetry.LabeledValue {
	return telemetry.LabeledValue{Labels: []attribute.KeyValue{attribute.String("event", event)}, Value: count}
}
