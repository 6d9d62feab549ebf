// Package membudget limits the bytes of messages that the requests in flight hold in memory together.
package membudget

import "sync/atomic"

// Priority determines how much of a budget an allocation may fill.
type Priority int

const (
	// ForRequest is for what every request needs. It may fill the whole budget.
	ForRequest Priority = iota
	// ForBody is for long bodies of requests and answers. It leaves a part of the budget to other requests.
	ForBody
)

// bodyShare is the share of a budget that is open to allocations of priority ForBody, in percent.
const bodyShare = 75

// Budget is a number of bytes that Grants share. A nil Budget is unlimited. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are allocated.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// take allocates bytes. It reports false, and allocates nothing, if the budget does not have them.
func (b *Budget) take(bytes int64, priority Priority) bool {
	if b.used.Add(bytes) <= b.limitOf(priority) {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// limitOf returns the number of bytes that allocations of a priority may fill.
func (b *Budget) limitOf(priority Priority) int64 {
	if priority == ForBody {
		return b.limit * bodyShare / 100
	}
	return b.limit
}

// Grant is the part of a budget that one request holds. The zero value holds nothing and is unlimited. It is not safe for
// concurrent use.
type Grant struct {
	budget *Budget
	bytes  int64
}

// OpenEmpty returns a grant that holds nothing.
func (b *Budget) OpenEmpty() *Grant { return &Grant{budget: b} }

// Open returns a grant that holds a number of bytes. It reports false if the budget does not have them.
func (b *Budget) Open(bytes int) (*Grant, bool) {
	g := b.OpenEmpty()
	return g, g.Grow(bytes, ForRequest)
}

// Grow allocates further bytes. It reports false, and allocates nothing, if the budget does not have them.
func (g *Grant) Grow(bytes int, priority Priority) bool {
	if g == nil || g.budget == nil {
		return true
	}
	if !g.budget.take(int64(bytes), priority) {
		return false
	}
	g.bytes += int64(bytes)
	return true
}

// CanEverGrow reports whether Grow could allocate further bytes if no other grant held any.
func (g *Grant) CanEverGrow(bytes int, priority Priority) bool {
	return g == nil || g.budget == nil || g.bytes+int64(bytes) <= g.budget.limitOf(priority)
}

// Shrink returns bytes that Grow allocated.
func (g *Grant) Shrink(bytes int) {
	if g == nil || g.budget == nil {
		return
	}
	g.bytes -= int64(bytes)
	g.budget.used.Add(-int64(bytes))
}

// Close returns all bytes of the grant.
func (g *Grant) Close() {
	if g != nil {
		g.Shrink(int(g.bytes))
	}
}
