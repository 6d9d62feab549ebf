package ticket

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// closing is the closing record of an incarnation, or a part of it: the serials that were started, with their
// outcomes, in the range from first to last. A serial in the range that is not listed was not run, provided that
// its ticket had not expired when the incarnation stopped.
type closing struct {
	owner       Owner
	stoppedAt   time.Duration
	lifetime    time.Duration
	first, last uint64
	started     []startedSerial
}

type startedSerial struct {
	serial uint64
	done   bool
}

func (t *table) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// closingRecord stops the table for good. After it no operation starts.
func (t *table) closingRecord(now time.Duration) *closing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	t.advance(now)
	record := &closing{stoppedAt: t.now, lifetime: t.limits.Lifetime, last: math.MaxUint64}
	for serial, e := range t.entries {
		if e.state != closed {
			record.started = append(record.started, startedSerial{serial: serial, done: e.state == done})
		}
	}
	slices.SortFunc(record.started, func(a, b startedSerial) int {
		if a.serial < b.serial {
			return -1
		}
		return 1
	})
	return record
}

// encode returns the record in parts of at most maxBytes. Serials are stored as differences, shifted left by
// one bit that says whether the operation is done, so that operations in sequence take one byte each.
func (c *closing) encode(owner Owner, maxBytes int) [][]byte {
	var parts [][]byte
	first, rest := c.first, c.started
	for {
		part := binary.AppendUvarint(nil, formatVersion)
		part = binary.AppendUvarint(part, uint64(len(owner.Instance)))
		part = append(part, owner.Instance...)
		part = binary.AppendUvarint(part, owner.Incarnation)
		part = binary.AppendUvarint(part, uint64(c.stoppedAt))
		part = binary.AppendUvarint(part, uint64(c.lifetime))
		part = binary.AppendUvarint(part, first)
		taken, body := packSerials(rest, first, maxBytes-len(part)-binary.MaxVarintLen64)
		last := c.last
		if taken < len(rest) {
			last = rest[taken-1].serial
		}
		part = binary.AppendUvarint(part, last)
		parts = append(parts, append(part, body...))
		if taken == len(rest) {
			return parts
		}
		first, rest = last+1, rest[taken:]
	}
}

// packSerials packs as many serials as fit and at least one.
func packSerials(serials []startedSerial, base uint64, room int) (int, []byte) {
	var body []byte
	for i, s := range serials {
		delta := (s.serial - base) << 1
		if s.done {
			delta |= 1
		}
		next := binary.AppendUvarint(body, delta)
		if len(next) > room && i > 0 {
			return i, body
		}
		body, base = next, s.serial
	}
	return len(serials), body
}

// decodeClosing decodes one part of a closing record.
func decodeClosing(data []byte) (*closing, error) {
	r := &partReader{data: data}
	if r.next() != formatVersion {
		return nil, &FormatError{Problem: "closing record of another version"}
	}
	c := &closing{}
	c.owner.Instance = r.text()
	c.owner.Incarnation = r.next()
	c.stoppedAt = time.Duration(r.next())
	c.lifetime = time.Duration(r.next())
	c.first = r.next()
	c.last = r.next()
	base := c.first
	for r.problem == "" && len(r.data) > 0 {
		packed := r.next()
		base += packed >> 1
		c.started = append(c.started, startedSerial{serial: base, done: packed&1 == 1})
	}
	if r.problem != "" {
		return nil, &FormatError{Problem: r.problem}
	}
	return c, nil
}

// partReader reads fields and remembers the first problem.
type partReader struct {
	data    []byte
	problem string
}

func (r *partReader) next() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.problem, r.data = "closing record is cut short", nil
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *partReader) text() string {
	length := r.next()
	if length > maxInstanceBytes || int(length) > len(r.data) {
		r.problem, r.data = "closing record has a wrong instance id", nil
		return ""
	}
	value := string(r.data[:length])
	r.data = r.data[length:]
	return value
}
