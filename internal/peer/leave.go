package peer

import (
	"context"
	"sync"
)

// HandOver sends all parts of a closing record to the live members and returns how many took all of them.
func (n *Node) SendClosingRecord(ctx context.Context, parts []ClosingRecord) int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	took := 0
	limit := make(chan struct{}, maxExchanges)
	for _, address := range n.liveAddresses() {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			if n.handOverTo(ctx, address, parts) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			took++
		})
	}
	wait.Wait()
	return took
}

func (n *Node) handOverTo(ctx context.Context, address string, parts []ClosingRecord) error {
	for _, part := range parts {
		if err := n.links.call(ctx, address, "Peer.Close", part, &CloseAnswer{}); err != nil {
			n.config.Log.Warn("Cannot hand over a closing record.", "peer", address, "error", err)
			return err
		}
	}
	return nil
}

// Leave announces a planned stop and tells a few members directly.
func (n *Node) Leave(ctx context.Context) error {
	if err := n.config.Executor.Do(ctx, n.gossip.Leave); err != nil {
		return err
	}
	for range leaveContacts {
		var contact Contact
		var request Exchange
		found := false
		err := n.config.Executor.Do(ctx, func() {
			if contact, found = n.gossip.nextMember(n.config.Random); found {
				request = n.gossip.NewRequest(contact, n.config.Random)
			}
		})
		if err != nil || !found {
			return err
		}
		_ = n.links.call(ctx, contact.Address, "Peer.Exchange", request, &Exchange{})
	}
	return nil
}

// Close stops accepting and closes all connections.
func (n *Node) Close() {
	n.server.close()
	n.links.close()
}

func (n *Node) liveAddresses() []string {
	var addresses []string
	for _, m := range n.Members()[1:] {
		if m.State == Alive || m.State == Suspect {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}
