package load

import (
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

const (
	// maxTickets bounds the memory for tickets of a long run. Tickets beyond it are dropped unused.
	maxTickets = MaxConnections
	// ticketAge is half of the lifetime that an instance gives a ticket, so that none expires on the way.
	maxTicketAge = 5 * time.Minute
)

// ticketStore keeps unused tickets, each of which is handed out once. It hands out none before the first 428
// answer, because classes that may be repeated need none. It is safe for concurrent use.
type ticketStore struct {
	mu      sync.Mutex
	enabled bool
	tickets []storedTicket
}

type storedTicket struct {
	value      string
	receivedAt time.Time
}

// take returns the most recent unused ticket, or "" when there is none.
func (s *ticketStore) take(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.tickets)
	if !s.enabled || n == 0 {
		return ""
	}
	ticket := s.tickets[n-1]
	s.tickets = s.tickets[:n-1]
	if now.Sub(ticket.receivedAt) > maxTicketAge {
		// All others are older.
		s.tickets = nil
		return ""
	}
	return ticket.value
}

func (s *ticketStore) put(ticket string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket != "" && len(s.tickets) < maxTickets {
		s.tickets = append(s.tickets, storedTicket{ticket, now})
	}
}

// require makes the store hand out tickets.
func (s *ticketStore) enable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enabled = true
}

// uselessAfter lists the reasons after which the tickets from the same instance are useless.
var staleTicketReasons = []string{reason.TicketOwnerGone.Name, reason.TicketOwnerClosed.Name, reason.TicketExpired.Name}

// learn drops all tickets when a result shows that their issuer is gone.
func (s *ticketStore) dropStale(result Result) {
	if !slices.Contains(staleTicketReasons, result.Cause) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets = nil
}
