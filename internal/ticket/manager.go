package ticket

import (
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// Action tells how to handle a request that carries a ticket.
type Action int

// Values of Action.
const (
	// Run means that the request must be sent to a target and Decision.Operation finished with the result.
	Run Action = iota
	// Wait means that the operation is running. Decide must be called again when Decision.Finished is closed.
	Wait
	// Replay means that the operation is done and Decision.Answer is its answer.
	Replay
	// Forward means that the request must be forwarded to Decision.Owner.
	Forward
	// Refuse means that the request must be answered with Decision.Reason. This includes operations whose outcome is known
	// but whose answer is not stored.
	Refuse
)

// Decision is the decision about one request. Only the fields that belong to Action are set.
type Decision struct {
	Action    Action
	Operation *Operation
	// Finished is closed when the running operation has finished.
	Finished <-chan struct{}
	Answer   *Answer
	// AnswerHead describes an answer that is not stored.
	AnswerHead AnswerHead
	Owner      Owner
	Reason     *reason.Reason
}

// refusal returns the decision to refuse a request.
func refusal(failureReason *reason.Reason) Decision {
	return Decision{Action: Refuse, Reason: failureReason}
}

// Manager issues the tickets of one incarnation and decides how to handle requests that carry tickets of any instance.
// It is safe for concurrent use.
type Manager struct {
	self         Owner
	signer       *signer
	table        *table
	closingStore *ClosingStore
}

// NewManager returns a manager for the incarnation self. The key must be random and must not be reused.
func NewManager(self Owner, key Key, limits Limits) *Manager {
	return &Manager{self: self, signer: newSigner(key), table: newTable(limits), closingStore: NewClosingStore(limits.Lifetime)}
}

// ClosingStore returns the store for the closing records of other instances.
func (m *Manager) ClosingStore() *ClosingStore { return m.closingStore }

// Issue returns the text of a new ticket, or an empty text if the instance is stopping. An unused ticket takes no memory.
func (m *Manager) Issue(now time.Duration) string {
	serial, issued, ok := m.table.issue(now)
	if !ok {
		return ""
	}
	t := &Ticket{Owner: m.self, Serial: serial, Issued: issued}
	t.mac = m.signer.sign(t)
	return t.String()
}

// Decide decides how to handle a request with the ticket in text. The digest identifies the request's content. A request
// that another instance forwarded is not forwarded again.
func (m *Manager) Decide(now time.Duration, text string, digest Digest, forwarded bool) Decision {
	t, err := Parse(text)
	if err != nil {
		return refusal(reason.TicketInvalid)
	}
	if t.Owner == m.self {
		if !m.signer.verify(t) {
			return refusal(reason.TicketInvalid)
		}
		return m.table.begin(now, t, digest)
	}
	if failureReason := m.closingStore.lookup(now, t); failureReason != nil {
		return refusal(failureReason)
	}
	if forwarded || t.Owner.Instance == m.self.Instance {
		return refusal(reason.TicketOwnerGone)
	}
	return Decision{Action: Forward, Owner: t.Owner}
}

// CloseUnused reports whether a request may be refused as not run without a call of Decide. If so, it closes the ticket so
// that no later copy of the request can run. Only the ticket's owner can prove this: an earlier copy may have run there.
// For a malformed or forged ticket it returns true, because no operation can have run with it.
func (m *Manager) CloseUnused(now time.Duration, text string) bool {
	t, err := Parse(text)
	if err != nil {
		return true
	}
	if t.Owner != m.self {
		return false
	}
	return !m.signer.verify(t) || m.table.closeUnused(now, t)
}

// Stop stops issuing tickets and starting operations. Running operations continue, and repeated requests are still
// answered.
func (m *Manager) Stop() { m.table.stop() }

// Close must be called after Stop. It returns the closing record in parts of at most maxBytes. Operations that still run
// are recorded as unknown.
func (m *Manager) Close(now time.Duration, maxBytes int) [][]byte {
	return m.table.shutdown(now).encode(m.self, maxBytes)
}
