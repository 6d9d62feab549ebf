package ticket

import (
	"slices"
	"sync"
	"time"

	"github.com/basillink/basillink/internal/reason"
)

// maxClosingsBytes bounds the memory of the closing records of other instances. At the two-year size 310
// instances are replaced a day, about two in one ticket lifetime; this holds several full ones.
const maxClosingsBytes = 8 << 20

// startedSerialBytes is the memory of one serial in a decoded record.
const startedSerialBytes = 16

// ClosingStore holds the closing records of instances that stopped as planned. It is safe for concurrent use.
type ClosingStore struct {
	lifetime time.Duration

	mu    sync.Mutex
	parts []receivedPart
	bytes int
}

type receivedPart struct {
	at     time.Duration
	record *closing
}

// NewClosingStore returns an empty store that keeps records for the lifetime of tickets.
func NewClosingStore(lifetime time.Duration) *ClosingStore { return &ClosingStore{lifetime: lifetime} }

// Add stores one part of a closing record. A part that is already there is ignored.
func (c *ClosingStore) Add(now time.Duration, part []byte) error {
	record, err := decodeClosing(part)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if c.has(record) {
		return nil
	}
	if c.bytes+record.bytes() > maxClosingsBytes {
		return &RecordLimitError{Bytes: record.bytes(), Limit: maxClosingsBytes - c.bytes}
	}
	c.parts = append(c.parts, receivedPart{at: now, record: record})
	c.bytes += record.bytes()
	return nil
}

func (c *ClosingStore) has(record *closing) bool {
	return slices.ContainsFunc(c.parts, func(p receivedPart) bool {
		return p.record.owner == record.owner && p.record.first == record.first
	})
}

func (c *ClosingStore) expire(now time.Duration) {
	c.parts = slices.DeleteFunc(c.parts, func(p receivedPart) bool {
		if now-p.at < c.lifetime {
			return false
		}
		c.bytes -= p.record.bytes()
		return true
	})
}

// lookup returns what the closing record of the ticket's owner proves, or nil without a record.
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

// lookup returns what the record says about a serial in its range.
func (c *closing) lookup(t *Ticket) *reason.Reason {
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

func (c *closing) bytes() int { return len(c.owner.Instance) + startedSerialBytes*(1+len(c.started)) }
