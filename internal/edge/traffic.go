package edge

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/fleet"
	"github.com/basillink/basillink/internal/telemetry"
	"github.com/basillink/basillink/platform"
)

// observeTraffic exports counters of the control traffic of an instance: datagrams between instances, calls to the store and its
// eras, evacuations, and load probes.
func observeTraffic(m *telemetry.Metrics, t *fleet.Traffic, store *platform.Store) error {
	counters := []struct {
		name, help string
		read       func() []telemetry.LabeledValue
	}{
		{"basillink.datagrams", "Datagrams between instances, by kind and direction.", func() []telemetry.LabeledValue {
			return labeledFlows(t, func(f fleet.Flow) int64 { return f.Datagrams })
		}},
		{"basillink.datagram_bytes", "Bytes of datagrams between instances, by kind and direction.", func() []telemetry.LabeledValue {
			return labeledFlows(t, func(f fleet.Flow) int64 { return f.Bytes })
		}},
		{"basillink.store_calls", "Calls to the store, by what was asked for.", func() []telemetry.LabeledValue { return labeledCalls(t) }},
		{"basillink.readings", "Readings of the targets' load.", func() []telemetry.LabeledValue {
			return []telemetry.LabeledValue{{Value: t.LoadProbes()}}
		}},
		{"basillink.stale_datagrams", "Datagrams dropped because they had waited while the process was paused.", func() []telemetry.LabeledValue {
			return []telemetry.LabeledValue{{Value: t.StaleDatagrams()}}
		}},
		{"basillink.store_restores", "Restores of the store from an older copy that this instance noticed.", func() []telemetry.LabeledValue {
			return []telemetry.LabeledValue{{Value: t.StoreRestores()}}
		}},
		{"basillink.evacuations", "Evacuations that began, by zone.", func() []telemetry.LabeledValue { return labeledEvacuations(t) }},
		{"basillink.store_era_faults", "Answers of the store with a faulty era, by fault.", func() []telemetry.LabeledValue { return labeledEraFaults(store) }},
	}
	for _, c := range counters {
		if err := m.RegisterObservableCounter(c.name, c.help, c.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// labeledFlows returns one value of each flow, labeled with the kind of datagram and the direction.
func labeledFlows(t *fleet.Traffic, value func(fleet.Flow) int64) []telemetry.LabeledValue {
	var values []telemetry.LabeledValue
	t.EachDatagramKind(func(kind fleet.DatagramKind, sent, received fleet.Flow) {
		values = append(values, labeledFlow(kind, "sent", value(sent)), labeledFlow(kind, "received", value(received)))
	})
	return values
}

func labeledFlow(kind fleet.DatagramKind, direction string, value int64) telemetry.LabeledValue {
	labels := []attribute.KeyValue{attribute.String("kind", kind.String()), attribute.String("direction", direction)}
	return telemetry.LabeledValue{Labels: labels, Value: value}
}

// labeledEraFaults returns the number of answers of the store with a faulty era, labeled with the fault.
func labeledEraFaults(store *platform.Store) []telemetry.LabeledValue {
	var values []telemetry.LabeledValue
	store.EachEraFault(func(fault platform.EraFault, count int64) {
		labels := []attribute.KeyValue{attribute.String("fault", fault.String())}
		values = append(values, telemetry.LabeledValue{Labels: labels, Value: count})
	})
	return values
}

// labeledEvacuations returns the number of evacuations, labeled with the zone.
func labeledEvacuations(t *fleet.Traffic) []telemetry.LabeledValue {
	var values []telemetry.LabeledValue
	for zone, count := range t.Evacuations() {
		labels := []attribute.KeyValue{attribute.String("zone", zone)}
		values = append(values, telemetry.LabeledValue{Labels: labels, Value: count})
	}
	return values
}

// labeledCalls returns the number of store calls, labeled with the type of call.
func labeledCalls(t *fleet.Traffic) []telemetry.LabeledValue {
	var values []telemetry.LabeledValue
	t.EachCall(func(call fleet.StoreCall, count int64) {
		labels := []attribute.KeyValue{attribute.String("call", call.String())}
		values = append(values, telemetry.LabeledValue{Labels: labels, Value: count})
	})
	return values
}
