package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// Gauges are read at each collection. The functions are safe for concurrent use.
type Gauges struct {
	InFlight func() int64
	Revision func() int64
	Ready    func() bool
	// Dropped counts events and rumors that were dropped because a queue was full.
	Dropped func() int64
}

// Observe registers the gauges. It is called once.
func (m *Metrics) Observe(g Gauges) error {
	gauges := []struct {
		name string
		help string
		read func() int64
	}{
		{"basillink.requests_in_flight", "Requests that are being served.", g.InFlight},
		{"basillink.revision", "Revision in force, 0 before the first.", g.Revision},
		{"basillink.ready", "1 while the instance is ready.", func() int64 { return boolValue(g.Ready()) }},
		{"basillink.dropped_events", "Events and rumors dropped because a queue was full, since the start.", g.Dropped},
	}
	for _, gauge := range gauges {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(gauge.read())
			return nil
		}
		_, err := m.meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.help), metric.WithInt64Callback(observe))
		if err != nil {
			return trace.Wrap(err, "gauge %s", gauge.name)
		}
	}
	return nil
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
