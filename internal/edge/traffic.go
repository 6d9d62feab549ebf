package edge

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/fleet"
	"github.com/basillink/basillink/internal/telemetry"
)

// observeTraffic exports what an instance exchanges with others for the control of the fleet.
func observeTraffic(m *telemetry.Metrics, t *fleet.Traffic) error {
	counters := []struct {
		name, help string
		read       func() []telemetry.Labeled
	}{
		{"basillink.datagrams", "Datagrams between instances, by kind and direction.", func() []telemetry.Labeled {
			return flows(t, func(f fleet.Flow) int64 { return f.Datagrams })
		}},
		{"basillink.datagram_bytes", "Bytes of datagrams between instances, by kind and direction.", func() []telemetry.Labeled {
			return flows(t, func(f fleet.Flow) int64 { return f.Bytes })
		}},
		{"basillink.store_calls", "Calls to the store, by what was asked for.", func() []telemetry.Labeled { return calls(t) }},
		{"basillink.readings", "Readings of the targets' load.", func() []telemetry.Labeled {
			return []telemetry.Labeled{{Value: t.LoadProbes()}}
		}},
	}
	for _, c := range counters {
		if err := m.ObserveCounter(c.name, c.help, c.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func flows(t *fleet.Traffic, figure func(fleet.Flow) int64) []telemetry.Labeled {
	var values []telemetry.Labeled
	t.EachDatagramKind(func(kind fleet.DatagramKind, sent, received fleet.Flow) {
		values = append(values, labeled(kind, "sent", figure(sent)), labeled(kind, "received", figure(received)))
	})
	return values
}

func labeled(kind fleet.DatagramKind, direction string, value int64) telemetry.Labeled {
	labels := []attribute.KeyValue{attribute.String("kind", kind.String()), attribute.String("direction", direction)}
	return telemetry.Labeled{Labels: labels, Value: value}
}

func calls(t *fleet.Traffic) []telemetry.Labeled {
	var values []telemetry.Labeled
	t.EachCall(func(call fleet.StoreCall, count int64) {
		labels := []attribute.KeyValue{attribute.String("call", call.String())}
		values = append(values, telemetry.Labeled{Labels: labels, Value: count})
	})
	return values
}
