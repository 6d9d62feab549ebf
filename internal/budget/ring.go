package budget

import "time"

// spend is one charged measurement.
type spend struct {
	at    time.Duration
	bytes int
}

// ring is a FIFO queue of spends in a ring buffer, which doubles when it is full. It is not safe for concurrent use.
type ring struct {
	entries []spend
	head    int
	count   int
}

func (r *ring) len() int { return r.count }

func (r *ring) first() spend { return r.entries[r.head] }

func (r *ring) pop() {
	r.head = (r.head + 1) % len(r.entries)
	r.count--
}

func (r *ring) push(s spend) {
	if r.count == len(r.entries) {
		r.grow()
	}
	r.entries[(r.head+r.count)%len(r.entries)] = s
	r.count++
}

func (r *ring) grow() {
	const minEntries = 8
	entries := make([]spend, max(minEntries, 2*len(r.entries)))
	for i := range r.count {
		entries[i] = r.entries[(r.head+i)%len(r.entries)]
	}
	r.entries, r.head = entries, 0
}
