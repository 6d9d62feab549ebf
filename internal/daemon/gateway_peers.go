package daemon

import (
	"context"

	"github.com/basillink/basillink/internal/peer"
	"github.com/basillink/basillink/internal/ticket"
)

// members finds the owners of tickets among the members of the fleet.
type ticketOwners struct{ node *peer.Node }

// CallerAddress implements gateway.OwnerResolver. Members that are suspected of failure are asked too, because a paused
// process may resume.
func (m ticketOwners) CallerAddress(owner ticket.Owner) (string, bool) {
	wanted := peer.Identity{ID: owner.Instance, Incarnation: owner.Incarnation}
	for _, member := range m.node.Members() {
		if member.Identity == wanted {
			return member.CallerAddress, member.State == peer.Alive || member.State == peer.Suspect
		}
	}
	return "", false
}

// connectGateway lets the gateway find the owners of tickets, and exchange closing records and crash marks with
// peers. It runs before the node runs.
func (d *Daemon) connectGatewayToPeers() {
	d.gateway.ConfigureTickets(d.incarnation, ticketOwners{d.node})
	d.node.OnClosingRecord(func(record peer.ClosingRecord) {
		if err := d.gateway.AddClosingRecord(record.Payload); err != nil {
			d.log.Warn("Cannot keep a closing record.", "instance", record.Instance, "error", err)
		}
	})
	d.gateway.OnCrashMark(func(key string, payload []byte) {
		if err := d.node.Spread(peer.Rumor{Kind: peer.KindCrash, Key: key, Payload: payload}); err != nil {
			d.log.Warn("Cannot spread a crash mark.", "error", err)
		}
	})
	d.node.Register(peer.KindCrash, peer.Handler{
		Receive: func(r peer.Rumor) bool { return d.gateway.ReceiveCrashMark(r.Key, r.Payload) },
		Digest:  d.gateway.CrashDigest,
		List:    d.crashMarks,
	})
}

func (d *Daemon) crashMarks() []peer.Rumor {
	var rumors []peer.Rumor
	d.gateway.CrashMarks(func(key string, payload []byte) {
		rumors = append(rumors, peer.Rumor{Kind: peer.KindCrash, Key: key, Payload: payload})
	})
	return rumors
}

// handOver sends the closing record to the live peers, so that they can answer resends to this instance.
func (d *Daemon) sendClosingRecord(ctx context.Context) {
	payloads := d.gateway.ClosingRecord(peer.MaxClosingPayloadBytes)
	parts := make([]peer.ClosingRecord, len(payloads))
	for i, payload := range payloads {
		parts[i] = peer.ClosingRecord{
			Instance: d.settings.Instance.ID, Incarnation: d.incarnation, Part: i, Parts: len(payloads), Payload: payload,
		}
	}
	d.log.Info("Handed over the closing record.", "parts", len(parts), "peers", d.node.SendClosingRecord(ctx, parts))
}
