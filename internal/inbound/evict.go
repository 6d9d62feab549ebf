package inbound

import (
	"cmp"
	"slices"
	"time"

	"github.com/basillink/basillink/internal/membudget"
)

const (
	// stallTime is how long a caller must have made no progress before its connection may be closed in favor of others.
	stallTime = time.Second
	// ProgressBytes is the number of bytes of a request or an answer that count as progress. A caller that sends or reads single
	// bytes makes none.
	ProgressBytes = 4 << 10
	// At most one in evictedShare of the connections without progress is closed at once, but minEvicted in any case.
	evictedShare, minEvicted = 8, 4
	// roomAttempts and roomInterval bound how long a request waits for the memory of evicted ones.
	roomAttempts = 10
	roomInterval = 5 * time.Millisecond
)

const (
	// scanInterval is the shortest time between two looks at all connections for memory or for the limit, so that a crowd whose
	// requests are all refused does not take the processor.
	scanInterval = 5 * time.Millisecond
	// unreadInterval is the same for CloseUnread.
	unreadInterval = 20 * time.Millisecond
)

// scanTimes are the times of the last looks at all connections, since Connections.epoch. 0 means never.
type scanTimes struct{ memory, limit, unread time.Duration }

// due reports whether an interval has passed since the last look, and if so, records one. The mutex must be held.
func (c *Connections) due(last *time.Duration, interval time.Duration) bool {
	now := time.Since(c.epoch)
	if *last > 0 && now-*last < interval {
		return false
	}
	*last = now
	return true
}

// ClosedCounts counts connections that were closed in favor of others.
type ClosedCounts struct {
	// ForMemory counts connections without progress that were closed because a request needed their memory.
	ForMemory int64
	// Unread counts connections without progress that were closed because the answers on them held what other requests lacked.
	Unread int64
	// ForLimit counts connections that were closed for a new one because the limit on connections was reached.
	ForLimit int64
	// Refused counts new connections that were closed at the limit because all others made progress.
	Refused int64
}

// Closed returns the counters since the start.
func (c *Connections) Closed() ClosedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// full reports whether the limit is reached. The mutex must be held.
func (c *Connections) full() bool {
	return c.Limit > 0 && len(c.all)-int(c.leaving.Load()) >= c.Limit
}

// setPhase begins a phase.
func (c *Conn) setPhase(p phase) {
	if c == nil {
		return
	}
	c.Progress()
	c.phase.Store(int32(p))
}

// Progress records that the caller has sent or read ProgressBytes.
func (c *Conn) Progress() {
	if c != nil {
		c.progressAt.Store(int64(time.Since(c.owner.epoch)))
	}
}

// Received records that the request has been read.
func (c *Conn) Received() { c.setPhase(serving) }

// Answering records that the answer or its next part is being written.
func (c *Conn) Answering() { c.setPhase(answering) }

// AwaitingPart records that the next part of the answer is awaited from the target. The caller is not to blame for that time.
func (c *Conn) AwaitingPart() { c.setPhase(serving) }

// Evicted reports whether the connection is being closed in favor of others.
func (c *Conn) Evicted() bool { return c != nil && c.evicted.Load() }

// setReadDeadline sets the read deadline unless the connection is evicted.
func (c *Conn) setReadDeadline(conn deadlineSetter, deadline time.Time) error {
	err := conn.SetReadDeadline(deadline)
	if c.Evicted() {
		return conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

type deadlineSetter interface{ SetReadDeadline(time.Time) error }

// Grow allocates bytes for the request on the connection. If the budget does not have them, it closes connections whose callers make
// no progress and waits for their memory. It reports false, and allocates nothing, if that is not enough.
func (c *Conn) Grow(memory *membudget.Grant, bytes int, priority membudget.Priority) bool {
	if memory.Grow(bytes, priority) {
		return true
	}
	if c == nil || !memory.CanEverGrow(bytes, priority) {
		return false
	}
	for range roomAttempts {
		if !c.owner.evictForMemory(c) {
			return false
		}
		time.Sleep(roomInterval)
		if memory.Grow(bytes, priority) {
			return true
		}
	}
	return false
}

// evictForMemory closes connections without progress that hold memory of requests, except one. It reports whether memory may become
// free soon: evicted connections have not ended yet, or the next look at all connections would close further ones.
func (c *Connections) evictForMemory(except *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due(&c.scans.memory, scanInterval) {
		evicted, left := c.evict(func(entry *Conn, p phase) bool { return entry != except && (p == receiving || p == answering) })
		c.counts.ForMemory += int64(evicted)
		c.moreForMemory = left > 0
		if evicted > 0 {
			return true
		}
	}
	return c.moreForMemory || c.leaving.Load() > 0
}

// CloseUnread closes connections whose callers do not read their answers. It is called when a request is refused for lack of what an
// answer holds until it is written, such as a slot of the service or a connection to the target.
func (c *Connections) CloseUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due(&c.scans.unread, unreadInterval) {
		return
	}
	evicted, _ := c.evict(func(_ *Conn, p phase) bool { return p == answering })
	c.counts.Unread += int64(evicted)
}

// evictForLimit closes connections without progress, and if there are none, idle ones. The mutex must be held.
func (c *Connections) evictForLimit() {
	if !c.due(&c.scans.limit, scanInterval) {
		return
	}
	evicted, _ := c.evict(func(_ *Conn, p phase) bool { return p != serving && p != idle })
	if evicted == 0 {
		evicted, _ = c.evict(func(_ *Conn, p phase) bool { return p == idle })
	}
	c.counts.ForLimit += int64(evicted)
}

// evict closes a share of the matching connections that made no progress for stallTime, those without progress for the longest time
// first. It returns their number, and how many others without progress it left. The mutex must be held.
func (c *Connections) evict(matches func(*Conn, phase) bool) (evicted, left int) {
	latest := int64(time.Since(c.epoch) - stallTime)
	var stalled []*Conn
	for entry := range c.all {
		if !entry.evicted.Load() && entry.progressAt.Load() < latest && matches(entry, phase(entry.phase.Load())) {
			stalled = append(stalled, entry)
		}
	}
	slices.SortFunc(stalled, func(a, b *Conn) int { return cmp.Compare(a.progressAt.Load(), b.progressAt.Load()) })
	count := min(len(stalled), max(minEvicted, len(stalled)/evictedShare))
	for _, entry := range stalled[:count] {
		if entry.progressAt.Load() < latest && c.evictOne(entry) {
			evicted++
		}
	}
	return evicted, len(stalled) - count
}

// evictOne ends the reading of requests from a connection, so that its goroutine refuses the unfinished one and closes the connection,
// or closes a connection whose answer is not read. The goroutine of an idle one may have read a request without having called
// SetBusy yet; it still serves that. evictOne reports false if a request has just arrived, or if one runs by now.
func (c *Connections) evictOne(entry *Conn) bool {
	p := phase(entry.phase.Load())
	if p == serving || (p == idle || p == unused) && entry.HasInput() {
		return false
	}
	entry.evicted.Store(true)
	c.leaving.Add(1)
	if p == answering {
		_ = entry.conn.Close()
	} else {
		_ = entry.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return true
}
