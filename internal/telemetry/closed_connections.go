package telemetry

import (
	"go.opentelemetry.io/otel/attribute"

	"github.com/basillink/basillink/internal/inbound"
)

// RegisterClosedConnections registers the counter of connections of callers that were closed in favor of others. The function read
// must be safe for concurrent use.
func (m *Metrics) RegisterClosedConnections(read func() inbound.ClosedCounts) error {
	return m.RegisterObservableCounter("basillink.closed_connections",
		"Connections of callers that were closed in favor of others: without progress for their memory, without progress for what their answers hold, for a new connection at the limit, and new ones refused at the limit.",
		func() []LabeledValue {
			counts := read()
			return []LabeledValue{
				closedValue("memory", counts.ForMemory), closedValue("unread", counts.Unread),
				closedValue("limit", counts.ForLimit), closedValue("refused", counts.Refused),
			}
		})
}

// RegisterClosedOperatorConnections registers the counter of connections to the address for checks and metrics that were closed at its
// limit. The function read must be safe for concurrent use.
func (m *Metrics) RegisterClosedOperatorConnections(read func() inbound.ClosedCounts) error {
	return m.RegisterObservableCounter("basillink.closed_operator_connections",
		"Connections to the readiness or admin address that were closed at its limit: for a new connection, and new ones.",
		func() []LabeledValue {
			counts := read()
			return []LabeledValue{closedValue("limit", counts.ForLimit), closedValue("refused", counts.Refused)}
		})
}

// RegisterClosedPeerConnections registers the counter of connections to the peer address that were closed at its limit. The function
// read must be safe for concurrent use.
func (m *Metrics) RegisterClosedPeerConnections(read func() (evicted, refused int64)) error {
	return m.RegisterObservableCounter("basillink.closed_peer_connections",
		"Connections to the peer address that were closed at its limit: for a new connection, and new ones.",
		func() []LabeledValue {
			evicted, refused := read()
			return []LabeledValue{closedValue("limit", evicted), closedValue("refused", refused)}
		})
}

func closedValue(why string, count int64) LabeledValue {
	return LabeledValue{Labels: []attribute.KeyValue{attribute.String("why", why)}, Value: count}
}
