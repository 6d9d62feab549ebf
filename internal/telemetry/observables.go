package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// Observables holds functions that return values of metrics. They are called at each collection and must be safe for
// concurrent use. The metric of a nil function is not exported.
type Observables struct {
	// InFlight returns the number of requests that are being served.
	InFlight func() int64
	// Revision returns the revision in force, 0 before the first one.
	Revision func() int64
	// Ready reports whether the instance is ready.
	Ready func() bool
	// DroppedEvents returns the number of events and rumors that were dropped because a queue was full.
	DroppedEvents func() int64
	// RequestBytes returns the number of bytes that the requests in flight hold of their memory budget.
	RequestBytes func() int64
	// EvacuatedZones returns the number of availability zones that the operator has evacuated.
	EvacuatedZones func() int64
	// ColdTargets returns the number of cold targets.
	ColdTargets func() int64

	// The functions below return counters since the start of the process. Probes that were not sent because the probe
	// budget was spent are not counted.

	// ProbesSent returns the number of probes that were charged to the probe budget and sent.
	ProbesSent func() int64
	// ProbesFailed returns the number of sent probes without a usable answer.
	ProbesFailed func() int64
	// ProbesDropped returns the number of probes that were not sent because no worker was free.
	ProbesDropped func() int64
	// Panics returns the number of messages and requests whose handling ended in a panic.
	Panics func() int64
	// AcceptErrors returns the number of connections that could not be accepted at once, mostly for lack of a free descriptor.
	AcceptErrors func() int64
	// RefusedTransitions returns the number of events that statecharts refused.
	RefusedTransitions func() int64
}

// RegisterObservables registers the gauges and counters of callbacks. It must be called at most once.
func (m *Metrics) RegisterObservables(callbacks Observables) error {
	gauges := []struct {
		name string
		help string
		read func() int64
	}{
		{"basillink.requests_in_flight", "Requests that are being served.", callbacks.InFlight},
		{"basillink.revision", "Revision in force, 0 before the first.", callbacks.Revision},
		{"basillink.ready", "1 while the instance is ready.", readyValue(callbacks.Ready)},
		{"basillink.dropped_events", "Events and rumors dropped because a queue was full, since the start.", callbacks.DroppedEvents},
		{"basillink.request_bytes", "Bytes that the requests in flight hold of their memory budget.", callbacks.RequestBytes},
		{"basillink.cold_targets", "Targets that are cold, as far as this instance knows.", callbacks.ColdTargets},
		{"basillink.evacuated_zones", "Availability zones that are evacuated now.", callbacks.EvacuatedZones},
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
	return m.registerCounters(callbacks)
}

// registerCounters registers the counters of probes, panics and refused transitions.
func (m *Metrics) registerCounters(callbacks Observables) error {
	counters := []struct {
		name string
		help string
		read func() int64
	}{
		{"basillink.probes_sent", "Load probes and checks of departed targets that were charged and sent.", callbacks.ProbesSent},
		{"basillink.probes_failed", "Sent probes without a usable answer.", callbacks.ProbesFailed},
		{"basillink.probes_dropped", "Probes that found no free worker and were not sent.", callbacks.ProbesDropped},
		{"basillink.panics", "Messages and requests whose handling ended in a panic. Each is a fault of the program.", callbacks.Panics},
		{"basillink.accept_errors", "Errors of accept after which the listener tried again, mostly for lack of a free descriptor.", callbacks.AcceptErrors},
		{"basillink.refused_transitions", "Events that a statechart refused. Each is a fault of the program.", callbacks.RefusedTransitions},
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

// readyValue returns a function that returns 1 if ready returns true, otherwise 0. It returns nil if ready is nil.
func readyValue(ready func() bool) func() int64 {
	if ready == nil {
		return nil
	}
	return func() int64 { return boolToInt64(ready()) }
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
