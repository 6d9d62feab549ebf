package ticket

import (
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// maxClosingStoreBytes bounds the memory of the closing records of other instances. At the size expected in two years, 310
// instances are replaced per day, about two per ticket lifetime. The limit is enough for several full records.
const maxClosingStoreBytes = 8 << 20

// startedSerialBytes is the memory in bytes of one serial in a decoded record.
const startedSerialBytes = 16

// ClosingStore holds the closing records of instances that shut down gracefully. It is safe for concurrent use.
type ClosingStore struct {
	lifetime time.Duration

	mu          sync.Mutex
	parts       []receivedPart
	memoryBytes int
}

// receivedPart is one part of a closing record and the time when it was received.
type receivedPart struct {
	receivedAt time.Duration
	record     *closingRecord
}

// NewClosingStore returns an empty store. It drops a record when the lifetime of tickets has passed since its receipt.
func NewClosingStore(lifetime time.Duration) *ClosingStore { return &ClosingStore{lifetime: lifetime} }

// Add stores one part of a closing record. A duplicate is ignored. Add returns a *FormatError if the part is malformed
// and a *RecordLimitError if the store is full.
func (c *ClosingStore) Add(now time.Duration, part []byte) error {
	record, err := decodeClosingPart(part)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if c.contains(record) {
		return nil
	}
	if c.memoryBytes+record.memoryBytes() > maxClosingStoreBytes {
		return &RecordLimitError{Bytes: record.memoryBytes(), Limit: maxClosingStoreBytes - c.memoryBytes}
	}
	c.parts = append(c.parts, receivedPart{receivedAt: now, record: record})
	c.memoryBytes += record.memoryBytes()
	return nil
}

// contains reports whether the store holds the part. The caller must hold c.mu.
func (c *ClosingStore) contains(record *closingRecord) bool {
	return slices.ContainsFunc(c.parts, func(p receivedPart) bool {
		return p.record.owner == record.owner && p.record.first == record.first
	})
}

// expire drops the parts that were received a ticket lifetime ago. The caller must hold c.mu.
func (c *ClosingStore) expire(now time.Duration) {
	c.parts = slices.DeleteFunc(c.parts, func(p receivedPart) bool {
		if now-p.receivedAt < c.lifetime {
			return false
		}
		c.memoryBytes -= p.record.memoryBytes()
		return true
	})
}

// lookup returns the reason that the closing record of the ticket's owner proves, or nil if no part of it covers the
// ticket.
func (c *ClosingStore) lookup(now time.Duration, t *Ticket) *reason.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	for _, p := range c.parts {
		if p.record.owner == t.Owner && p.record.first <= t.Serial && t.Serial <= p.record.last {
			return p.record.lookup(t)
		}
	}
	return nil
}

// lookup returns the reason that the record proves for a ticket whose serial is in the record's range.
func (c *closingRecord) lookup(t *Ticket) *reason.Reason {
	i, found := slices.BinarySearchFunc(c.started, t.Serial, func(s startedSerial, serial uint64) int {
		if s.serial < serial {
			return -1
		}
		if s.serial > serial {
			return 1
		}
		return 0
	})
	switch {
	case found && c.started[i].done:
		return reason.AnswerNotKept
	case found:
		return reason.TicketOwnerGone
	case c.stoppedAt-t.Issued >= c.lifetime:
		return reason.TicketExpired
	}
	return reason.TicketOwnerClosed
}

// memoryBytes returns the estimated memory of the record in bytes.
func (c *closingRecord) memoryBytes() int {
	return len(c.owner.Instance) + startedSerialBytes*(1+len(c.started))
}
