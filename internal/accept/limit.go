package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limit bounds the open connections of a listener whose connections are short-lived. At the limit, the oldest connection is evicted for
// a new one once it is old enough. It is safe for concurrent use.
type Limit struct {
	// Max is the maximum number of open connections.
	Max int
	// EvictionAge is the age at which a connection may be evicted. Connections of well-behaved peers end before.
	EvictionAge time.Duration
	// Now returns the time. It is time.Now unless a test sets it.
	Now func() time.Time

	mu       sync.Mutex
	openedAt map[net.Conn]time.Time
	// evicted and refused count the connections that were evicted, and the new ones that were refused because none could be.
	evicted, refused atomic.Int64
}

// NewLimit returns a limit without open connections.
func NewLimit(maximum int, evictionAge time.Duration) *Limit {
	return &Limit{Max: maximum, EvictionAge: evictionAge, Now: time.Now, openedAt: map[net.Conn]time.Time{}}
}

// Add adds a new connection. It reports false if the limit is reached and no connection can be evicted; the new one must then be closed.
func (l *Limit) Add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.openedAt) >= l.Max && !l.evictOldest() {
		l.refused.Add(1)
		return false
	}
	l.openedAt[conn] = l.Now()
	return true
}

// Remove removes a connection, which may have been evicted already.
func (l *Limit) Remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openedAt, conn)
}

// CloseAll closes the open connections.
func (l *Limit) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.openedAt {
		_ = conn.Close()
	}
}

// evictOldest closes the oldest connection if it is old enough. The mutex must be held.
func (l *Limit) evictOldest() bool {
	var oldest net.Conn
	for conn, openedAt := range l.openedAt {
		if oldest == nil || openedAt.Before(l.openedAt[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil || l.Now().Sub(l.openedAt[oldest]) < l.EvictionAge {
		return false
	}
	_ = oldest.Close()
	delete(l.openedAt, oldest)
	l.evicted.Add(1)
	return true
}

// Counts returns how many connections were evicted and how many new ones were refused.
func (l *Limit) Counts() (evicted, refused int64) { return l.evicted.Load(), l.refused.Load() }
