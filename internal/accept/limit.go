package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limit bounds the open connections of a listener whose connections are short. At the limit, the oldest connection is closed for a new
// one once it is older than it should get. It is safe for concurrent use.
type Limit struct {
	// Max is the largest number of open connections.
	Max int
	// Patience is the age at which a connection may be closed for a new one.
	Patience time.Duration
	// Now returns the time. It is time.Now unless a test sets it.
	Now func() time.Time

	mu    sync.Mutex
	since map[net.Conn]time.Time
	// closed and refused count the connections that were closed for new ones, and the new ones that found no place.
	closed, refused atomic.Int64
}

// NewLimit returns a limit without open connections.
func NewLimit(maximum int, patience time.Duration) *Limit {
	return &Limit{Max: maximum, Patience: patience, Now: time.Now, since: map[net.Conn]time.Time{}}
}

// Add adds a new connection. It reports false if there is no place for it, and it must then be closed.
func (l *Limit) Add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.since) >= l.Max && !l.closeOldest() {
		l.refused.Add(1)
		return false
	}
	l.since[conn] = l.Now()
	return true
}

// Remove removes a connection, which may have been closed for another one.
func (l *Limit) Remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.since, conn)
}

// CloseAll closes the open connections.
func (l *Limit) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.since {
		_ = conn.Close()
	}
}

// closeOldest closes the oldest connection if it is old enough. The mutex must be held.
func (l *Limit) closeOldest() bool {
	var oldest net.Conn
	for conn, since := range l.since {
		if oldest == nil || since.Before(l.since[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil || l.Now().Sub(l.since[oldest]) < l.Patience {
		return false
	}
	_ = oldest.Close()
	delete(l.since, oldest)
	l.closed.Add(1)
	return true
}

// Counts returns how many connections were closed for new ones, and how many new ones found no place.
func (l *Limit) Counts() (closed, refused int64) { return l.closed.Load(), l.refused.Load() }
