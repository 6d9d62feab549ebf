package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// Observables are read at each collection. Those that are nil are not exported. The functions are safe for concurrent use.
type Observables struct {
	InFlight func() int64
	Revision func() int64
	Ready    func() bool
	// Dropped counts events and rumors that were dropped because a queue was full.
	Dropped func() int64

	// Counters since the start. Probes that were not sent because the allowance was spent count nowhere.
	ProbesSent    func() int64
	ProbesFailed  func() int64
	ProbesDropped func() int64
	// Panics counts messages and requests whose handling ended in a panic.
	Panics func() int64
	// RefusedTransitions counts events that statecharts refused.
	RefusedTransitions func() int64
}

// RegisterObservables registers the gauges. It is called once.
func (m *Metrics) RegisterObservables(g Observables) error {
	gauges := []struct {
		name string
		help string
		read func() int64
	}{
		{"basillink.requests_in_flight", "Requests that are being served.", g.InFlight},
		{"basillink.revision", "Revision in force, 0 before the first.", g.Revision},
		{"basillink.ready", "1 while the instance is ready.", readiness(g.Ready)},
		{"basillink.dropped_events", "Events and rumors dropped because a queue was full, since the start.", g.Dropped},
	}
	for _, gauge := range gauges {
		if gauge.read == nil {
			continue
		}
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(gauge.read())
			return nil
		}
		_, err := m.meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.help), metric.WithInt64Callback(observe))
		if err != nil {
			return trace.Wrap(err, "gauge %s", gauge.name)
		}
	}
	return m.observeCounters(g)
}

// observeCounters registers what measuring costs, beside the budgets in the intent, and refused transitions.
func (m *Metrics) observeCounters(g Observables) error {
	counters := []struct {
		name string
		help string
		read func() int64
	}{
		{"basillink.probes_sent", "Load probes and checks of departed targets that were charged and sent.", g.ProbesSent},
		{"basillink.probes_failed", "Sent probes without a usable answer.", g.ProbesFailed},
		{"basillink.probes_dropped", "Probes that found no free worker and were not sent.", g.ProbesDropped},
		{"basillink.panics", "Messages and requests whose handling ended in a panic. Each is a fault of the program.", g.Panics},
		{"basillink.refused_transitions", "Events that a statechart refused. Each is a fault of the program.", g.RefusedTransitions},
	}
	for _, counter := range counters {
		if counter.read == nil {
			continue
		}
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(counter.read())
			return nil
		}
		_, err := m.meter.Int64ObservableCounter(counter.name, metric.WithDescription(counter.help), metric.WithInt64Callback(observe))
		if err != nil {
			return trace.Wrap(err, "counter %s", counter.name)
		}
	}
	return nil
}

// readiness returns the value of a gauge, or nil without a function.
func readiness(ready func() bool) func() int64 {
	if ready == nil {
		return nil
	}
	return func() int64 { return boolValue(ready()) }
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
