package peer

import (
	"context"
	"sync"
)

// SendClosingRecord sends all parts of a closing record to the live members and returns the number of members that
// accepted all of them.
func (n *Node) SendClosingRecord(ctx context.Context, parts []ClosingRecord) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted := 0
	slots := make(chan struct{}, maxInFlightExchanges)
	for _, address := range n.liveAddresses() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if n.sendParts(ctx, address, parts) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted++
		})
	}
	wg.Wait()
	return accepted
}

// sendParts sends the parts to one peer in order and stops at the first error.
func (n *Node) sendParts(ctx context.Context, address string, parts []ClosingRecord) error {
	for _, part := range parts {
		if err := n.connPool.call(ctx, address, "Peer.Close", part, &CloseAnswer{}); err != nil {
			n.config.Log.Warn("Could not send a closing record to a peer.", "peer", address, "error", err)
			return err
		}
	}
	return nil
}

// Leave announces a planned stop. It sends the announcement directly to up to leaveContacts members, which spread it.
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
		_ = n.connPool.call(ctx, contact.Address, "Peer.Exchange", request, &Exchange{})
	}
	return nil
}

// Close stops accepting connections and closes all open ones.
func (n *Node) Close() {
	n.server.close()
	n.connPool.close()
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
