package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Labeled is the value of a counter with its labels.
type Labeled struct {
	Labels []attribute.KeyValue
	Value  int64
}

// ObserveCounter registers a counter whose values are read at each collection. The function is safe for concurrent use.
func (m *Metrics) ObserveCounter(name, help string, read func() []Labeled) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for _, value := range read() {
			o.Observe(value.Value, metric.WithAttributes(value.Labels...))
		}
		return nil
	}
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	return trace.Wrap(err, "counter %s", name)
}
