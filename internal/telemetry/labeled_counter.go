package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// LabeledValue is a value of a counter for a set of labels.
type LabeledValue struct {
	Labels []attribute.KeyValue
	Value  int64
}

// RegisterObservableCounter registers a counter whose values read returns at each collection. The function read must be
// safe for concurrent use.
func (m *Metrics) RegisterObservableCounter(name, help string, read func() []LabeledValue) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for _, value := range read() {
			o.Observe(value.Value, metric.WithAttributes(value.Labels...))
		}
		return nil
	}
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	return trace.Wrap(err, "counter %s", name)
}

// RegisterObservableGauge registers a gauge whose value read returns at each collection. The function read must be safe for concurrent
// use.
func (m *Metrics) RegisterObservableGauge(name, help string, read func() int64) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(observe))
	return trace.Wrap(err, "gauge %s", name)
}
