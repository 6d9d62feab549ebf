package load

import (
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

const (
	// maxTickets is the maximum number of stored tickets. It limits the memory of a long run. Further tickets are
	// dropped unused.
	maxTickets = MaxConnections
	// maxTicketAge is the age after which a ticket is no longer used. It is half the lifetime that an instance gives a
	// ticket, so that a ticket does not expire before it arrives.
	maxTicketAge = 5 * time.Minute
)

// ticketStore holds unused tickets and returns each of them at most once. It returns none until it is enabled by the
// first 428 answer, because requests of repeatable classes need no ticket. It is safe for concurrent use.
type ticketStore struct {
	mu      sync.Mutex
	enabled bool
	tickets []storedTicket
}

type storedTicket struct {
	value      string
	receivedAt time.Time
}

// take removes and returns the newest unused ticket, or "" if there is none.
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
		// All other tickets are older.
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

// enable makes take return tickets.
func (s *ticketStore) enable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enabled = true
}

// staleTicketReasons lists the reasons in an answer that show that older tickets of the same instance are invalid.
var staleTicketReasons = []string{reason.TicketOwnerGone.Name, reason.TicketOwnerClosed.Name, reason.TicketExpired.Name}

// dropStale drops all tickets if the cause of the result is one of staleTicketReasons.
func (s *ticketStore) dropStale(result Result) {
	if !slices.Contains(staleTicketReasons, result.Cause) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets = nil
}
