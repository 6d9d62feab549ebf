package daemon

import (
	"context"

	"github.com/basillink/basillink/internal/peer"
	"github.com/basillink/basillink/internal/ticket"
)

// ticketOwners looks up the owners of tickets among the members of the fleet.
type ticketOwners struct{ node *peer.Node }

// CallerAddress implements gateway.OwnerResolver. It also returns true for suspected members, because a paused
// process may resume.
func (o ticketOwners) CallerAddress(owner ticket.Owner) (string, bool) {
	wanted := peer.Identity{ID: owner.Instance, Incarnation: owner.Incarnation}
	for _, member := range o.node.Members() {
		if member.Identity == wanted {
			return member.CallerAddress, member.State == peer.Alive || member.State == peer.Suspect
		}
	}
	return "", false
}

// connectGatewayToPeers lets the gateway look up the owners of tickets, and exchange closing records and crash marks
// with peers. It must be called before the peer node runs.
func (d *Daemon) connectGatewayToPeers() {
	d.gateway.ConfigureTickets(d.incarnation, ticketOwners{d.node})
	d.node.OnClosingRecord(func(record peer.ClosingRecord) {
		if err := d.gateway.AddClosingRecord(record.Payload); err != nil {
			d.log.Warn("Could not store a closing record.", "instance", record.Instance, "error", err)
		}
	})
	d.gateway.OnCrashMark(func(key string, payload []byte) {
		if err := d.node.Spread(peer.Rumor{Kind: peer.KindCrash, Key: key, Payload: payload}); err != nil {
			d.log.Warn("Could not spread a crash mark.", "error", err)
		}
	})
	d.node.Register(peer.KindCrash, peer.Handler{
		Receive: func(r peer.Rumor) bool { return d.gateway.MergeCrashMark(r.Key, r.Payload) },
		Digest:  d.gateway.CrashDigest,
		List:    d.crashMarks,
	})
}

func (d *Daemon) crashMarks() []peer.Rumor {
	var rumors []peer.Rumor
	d.gateway.EachCrashMark(func(key string, payload []byte) {
		rumors = append(rumors, peer.Rumor{Kind: peer.KindCrash, Key: key, Payload: payload})
	})
	return rumors
}

// sendClosingRecord sends the ticket outcomes of this instance to the live peers, so that they can answer requests
// that are resent after this instance has stopped.
func (d *Daemon) sendClosingRecord(ctx context.Context) {
	payloads := d.gateway.ClosingRecord(peer.MaxClosingPayloadBytes)
	parts := make([]peer.ClosingRecord, len(payloads))
	for i, payload := range payloads {
		parts[i] = peer.ClosingRecord{
			Instance: d.settings.Instance.ID, Incarnation: d.incarnation, Part: i, Parts: len(payloads), Payload: payload,
		}
	}
	d.log.Info("Sent the closing record to peers.", "parts", len(parts), "peers", d.node.SendClosingRecord(ctx, parts))
}
