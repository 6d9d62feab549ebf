package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basillink/basillink/internal/credit"
)

// creditServer grants credits of the shared limits while this instance is their owner, and knows where to ask for them otherwise. Asks
// and answers bypass the control loop, because requests wait for them. It is safe for concurrent use.
type creditServer struct {
	clock  *suspensionClock
	ledger *credit.Ledger

	// mu keeps asks from being granted by the ledger of another ownership than the one whose lease was checked.
	mu sync.RWMutex
	// ownedUntil is when the lease of this instance ends, 0 if it is not the owner.
	ownedUntil time.Duration
	// ownerAddress is where the owner receives datagrams, nil if it is unknown or this instance.
	ownerAddress *net.UDPAddr

	takeovers       atomic.Int64
	granted, denied [credit.NumKinds]atomic.Int64
	refused         atomic.Int64
}

// begin starts an ownership with a new ledger.
func (s *creditServer) begin(now, sincePrevious time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Begin(now, sincePrevious)
}

// setOwner sets until when this instance is the owner, and the address of the owner if it is another one.
func (s *creditServer) setOwner(ownedUntil time.Duration, address *net.UDPAddr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownedUntil, s.ownerAddress = ownedUntil, address
}

// owner returns whether this instance is the owner, and else the address of the owner, nil if it is unknown.
func (s *creditServer) owner() (self bool, address *net.UDPAddr) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ownedUntil > 0, s.ownerAddress
}

// grant answers an ask. The lease is checked right before, because the process may have been paused or the host suspended since the
// control loop last ran.
func (s *creditServer) grant(from string, ask credit.Ask) credit.Answer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.clock.now()
	if now >= s.ownedUntil {
		s.refused.Add(1)
		return credit.Answer{Number: ask.Number, NotOwner: true}
	}
	answer := s.ledger.Grant(now, from, ask)
	if ask.Key.Kind < credit.NumKinds {
		s.granted[ask.Key.Kind].Add(int64(answer.Granted))
		s.denied[ask.Key.Kind].Add(int64(ask.Count) - int64(min(answer.Granted, ask.Count)))
	}
	return answer
}

// refund takes credits back while this instance is the owner.
func (s *creditServer) refund(from string, r credit.Refund) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if now := s.clock.now(); now < s.ownedUntil {
		s.ledger.Refund(now, from, r)
	}
}

// CreditStats counts what this instance did as the owner of the shared limits.
type CreditStats struct {
	// Owns is true while this instance is the owner. Takeovers counts how often it became the owner.
	Owns      bool
	Takeovers int64
	// Granted and Denied count credits by kind, and Refunded those that came back.
	Granted, Denied [credit.NumKinds]int64
	Refunded        int64
	// NotOwner counts asks that reached this instance while it was not the owner.
	NotOwner int64
}

// CreditStats returns what this instance did as the owner. It is safe for concurrent use.
func (n *Node) CreditStats() CreditStats {
	d := n.creditServer
	d.mu.RLock()
	owns := d.clock.now() < d.ownedUntil
	d.mu.RUnlock()
	s := CreditStats{Owns: owns, Takeovers: d.takeovers.Load(), Refunded: int64(d.ledger.Stats().Refunded), NotOwner: d.refused.Load()}
	for kind := range credit.NumKinds {
		s.Granted[kind], s.Denied[kind] = d.granted[kind].Load(), d.denied[kind].Load()
	}
	return s
}

// Credit returns the source of credits of the shared limits. It is safe for concurrent use.
func (n *Node) Credit() credit.Source { return n.creditPool }

// newCreditPool returns the pool of credits of this instance.
func (n *Node) newCreditPool() *credit.Pool {
	return credit.NewPool(credit.PoolConfig{Now: n.Now, Bounds: n.CreditBounds, Send: n.sendCreditAsk, Refund: n.sendCreditRefund})
}

// sendCreditAsk asks the owner for credits, and returns false if no owner is known. It is safe for concurrent use.
func (n *Node) sendCreditAsk(ask credit.Ask) bool {
	self, address := n.creditServer.owner()
	switch {
	case self:
		n.creditPool.HandleAnswer(n.creditServer.grant(n.Self.Address, ask))
	case address == nil:
		return false
	default:
		n.sendDatagram(&datagram{CreditAsk: &ask}, address)
	}
	return true
}

// sendCreditRefund gives credits back to the owner. It is safe for concurrent use.
func (n *Node) sendCreditRefund(r credit.Refund) {
	self, address := n.creditServer.owner()
	switch {
	case self:
		n.creditServer.refund(n.Self.Address, r)
	case address != nil:
		n.sendDatagram(&datagram{CreditRefund: &r}, address)
	}
}

// isCredit reports whether a datagram is an ask for credits, an answer or a refund.
func (d *datagram) isCredit() bool {
	return d.CreditAsk != nil || d.CreditAnswer != nil || d.CreditRefund != nil
}

// handleCredit handles a datagram for which isCredit is true.
func (n *Node) handleCredit(d *datagram, from *net.UDPAddr) {
	switch {
	case d.CreditAsk != nil:
		answer := n.creditServer.grant(from.String(), *d.CreditAsk)
		n.sendDatagram(&datagram{CreditAnswer: &answer}, from)
	case d.CreditAnswer != nil:
		n.creditPool.HandleAnswer(*d.CreditAnswer)
	case d.CreditRefund != nil:
		n.creditServer.refund(from.String(), *d.CreditRefund)
	}
}
