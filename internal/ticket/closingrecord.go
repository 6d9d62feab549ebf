package ticket

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// closingRecord is the closing record of an incarnation, or one part of it. It lists the operations with serials from first
// to last that were started, and their outcomes. A serial in this range that is not listed was not run, provided that its
// ticket had not expired when the incarnation stopped.
type closingRecord struct {
	owner       Owner
	stoppedAt   time.Duration
	lifetime    time.Duration
	first, last uint64
	started     []startedSerial
}

// startedSerial is the serial of a started operation. done is false if its outcome is unknown.
type startedSerial struct {
	serial uint64
	done   bool
}

// stop stops issuing tickets and starting operations. Running operations continue.
func (t *table) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// shutdown stops starting operations and returns the closing record. Operations that still run are recorded as not done.
func (t *table) shutdown(now time.Duration) *closingRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	t.advance(now)
	record := &closingRecord{stoppedAt: t.now, lifetime: t.limits.Lifetime, last: math.MaxUint64}
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

// encode returns the record in parts of at most maxBytes. Each serial is encoded as the varint of its difference to the
// previous one, shifted left by one; the lowest bit is set if the operation is done. Consecutive serials take one byte
// each.
func (c *closingRecord) encode(owner Owner, maxBytes int) [][]byte {
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
		count, body := encodeSerials(rest, first, maxBytes-len(part)-binary.MaxVarintLen64)
		last := c.last
		if count < len(rest) {
			last = rest[count-1].serial
		}
		part = binary.AppendUvarint(part, last)
		parts = append(parts, append(part, body...))
		if count == len(rest) {
			return parts
		}
		first, rest = last+1, rest[count:]
	}
}

// encodeSerials encodes as many serials as fit into maxBytes, but at least one, as differences that start at base. It
// returns their number and the encoding.
func encodeSerials(serials []startedSerial, base uint64, maxBytes int) (int, []byte) {
	var body []byte
	for i, s := range serials {
		delta := (s.serial - base) << 1
		if s.done {
			delta |= 1
		}
		next := binary.AppendUvarint(body, delta)
		if len(next) > maxBytes && i > 0 {
			return i, body
		}
		body, base = next, s.serial
	}
	return len(serials), body
}

// decodeClosingPart decodes one part of a closing record. It returns a *FormatError if the part is malformed.
func decodeClosingPart(data []byte) (*closingRecord, error) {
	r := &partDecoder{data: data}
	if r.uvarint() != formatVersion {
		return nil, &FormatError{Problem: "closing record has an unsupported version"}
	}
	c := &closingRecord{}
	c.owner.Instance = r.instanceID()
	c.owner.Incarnation = r.uvarint()
	c.stoppedAt = time.Duration(r.uvarint())
	c.lifetime = time.Duration(r.uvarint())
	c.first = r.uvarint()
	c.last = r.uvarint()
	base := c.first
	for r.problem == "" && len(r.data) > 0 {
		packed := r.uvarint()
		base += packed >> 1
		c.started = append(c.started, startedSerial{serial: base, done: packed&1 == 1})
	}
	if r.problem != "" {
		return nil, &FormatError{Problem: r.problem}
	}
	return c, nil
}

// partDecoder decodes the fields of a closing record. After the first problem, all reads return zero values.
type partDecoder struct {
	data    []byte
	problem string
}

func (r *partDecoder) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.problem, r.data = "closing record is truncated", nil
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *partDecoder) instanceID() string {
	length := r.uvarint()
	if length > maxInstanceBytes || int(length) > len(r.data) {
		r.problem, r.data = "closing record has an invalid instance id length", nil
		return ""
	}
	value := string(r.data[:length])
	r.data = r.data[length:]
	return value
}
