package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Action says what an instance does with a request that carries a ticket.
type Action int

// Actions.
const (
	// Run sends the request to a target and ends Decision.Operation.
	Run Action = iota
	// Wait waits for Decision.Finished and decides again.
	Wait
	// Replay answers with Decision.Answer.
	Replay
	// Forward asks Decision.Owner.
	Forward
	// Refuse answers with Decision.Reason, which also tells known outcomes without an answer.
	Refuse
)

// Decision is the decision about one request.
type Decision struct {
	Action    Action
	Operation *Operation
	Finished  <-chan struct{}
	Answer    *Answer
	// Head is what is known of an answer that is not kept.
	Head   AnswerHead
	Owner  Owner
	Reason *reason.Reason
}

func refuse(why *reason.Reason) Decision { return Decision{Action: Refuse, Reason: why} }

// Manager issues the tickets of one incarnation and decides about requests that carry tickets of any instance.
// It is safe for concurrent use.
type Manager struct {
	self     Owner
	signer   *signer
	table    *table
	closings *ClosingStore
}

// NewManager returns a manager. The key must be random and new.
func NewManager(self Owner, key Key, limits Limits) *Manager {
	return &Manager{self: self, signer: newSigner(key), table: newTable(limits), closings: NewClosingStore(limits.Lifetime)}
}

// ClosingRecords returns the closing records of other instances.
func (d *Manager) ClosingRecords() *ClosingStore { return d.closings }

// Issue returns the text of a new ticket, or an empty text when the instance is stopping. An issued ticket
// takes no memory.
func (d *Manager) Issue(now time.Duration) string {
	serial, issued, ok := d.table.issue(now)
	if !ok {
		return ""
	}
	t := &Ticket{Owner: d.self, Serial: serial, Issued: issued}
	t.mac = d.signer.sign(t)
	return t.String()
}

// Decide decides about a request. Forwarded requests are never forwarded again.
func (d *Manager) Decide(now time.Duration, text string, digest Digest, forwarded bool) Decision {
	t, err := Parse(text)
	if err != nil {
		return refuse(reason.TicketInvalid)
	}
	if t.Owner == d.self {
		if !d.signer.verify(t) {
			return refuse(reason.TicketInvalid)
		}
		return d.table.begin(now, t, digest)
	}
	if why := d.closings.lookup(now, t); why != nil {
		return refuse(why)
	}
	if forwarded || t.Owner.Instance == d.self.Instance {
		return refuse(reason.TicketOwnerGone)
	}
	return Decision{Action: Forward, Owner: t.Owner}
}

// CloseUnused reports whether a refusal of a request with this ticket may claim not run although Decide was not
// asked. Then the ticket is closed. Only the owner can prove the claim; a copy sent through it may have run.
func (d *Manager) CloseUnused(now time.Duration, text string) bool {
	t, err := Parse(text)
	if err != nil {
		return true
	}
	if t.Owner != d.self {
		return false
	}
	return !d.signer.verify(t) || d.table.closeUnused(now, t)
}

// Stop ends issuing and starting. Running operations go on, and repeats are still answered.
func (d *Manager) Stop() { d.table.stop() }

// Close ends the desk after Stop and returns its closing record, in parts of at most maxBytes. Operations that
// still run are recorded as unknown.
func (d *Manager) Close(now time.Duration, maxBytes int) [][]byte {
	return d.table.closingRecord(now).encode(d.self, maxBytes)
}
