package inbound

import (
	"sync"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
)

const (
	// longBodyBytes is the length from which on a body is allocated from the memory budget. Shorter ones are part of what every
	// request needs.
	longBodyBytes = 16 << 10
	// minSegmentBytes and maxSegmentBytes bound the size of the segments of a body.
	minSegmentBytes, maxSegmentBytes = 1 << 10, 64 << 10
)

// progress counts received bytes and tells the connection of each ProgressBytes.
type progress struct {
	conn  *Conn
	bytes int
}

func (p *progress) add(bytes int) {
	if p.bytes += bytes; p.bytes >= ProgressBytes {
		p.bytes = 0
		p.conn.Progress()
	}
}

// bodyBuffer holds a body of unknown length in segments, so that its growth copies nothing. Each segment is allocated from the
// memory budget before it is made.
type bodyBuffer struct {
	conn   *Conn
	memory *membudget.Grant
	// segments hold the body. All but the last one are full.
	segments [][]byte
	length   int
	// allocated is the capacity of all segments, and granted the part of it that is allocated from memory.
	allocated, granted int
}

// segmentPool holds segments of maxSegmentBytes that are not used. The runtime frees them as it collects garbage.
var segmentPool = sync.Pool{New: func() any { return new([maxSegmentBytes]byte) }}

// newSegment returns an empty segment.
func newSegment(size int) []byte {
	if size == maxSegmentBytes {
		return segmentPool.Get().(*[maxSegmentBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// release frees the segments. The body must not be used afterwards.
func (b *bodyBuffer) release() {
	for _, segment := range b.segments {
		if cap(segment) == maxSegmentBytes {
			segmentPool.Put((*[maxSegmentBytes]byte)(segment[:maxSegmentBytes]))
		}
	}
	b.segments = nil
}

// space returns at least one and at most want bytes to write the next part of the body to. The error is reason.MemoryFull.
func (b *bodyBuffer) space(want int) ([]byte, error) {
	if b.length == b.allocated {
		size := min(max(want, b.length, minSegmentBytes), maxSegmentBytes)
		if b.length < longBodyBytes {
			size = min(size, longBodyBytes-b.length)
		}
		if err := b.grant(b.allocated + size - longBodyBytes - b.granted); err != nil {
			return nil, err
		}
		b.segments = append(b.segments, newSegment(size))
		b.allocated += size
	}
	last := b.segments[len(b.segments)-1]
	return last[len(last):min(cap(last), len(last)+want)], nil
}

// mayHold reports whether the memory budget could hold a number of further bytes if no other request held any.
func (b *bodyBuffer) mayHold(bytes int) bool {
	return b.memory.CanEverGrow(b.length+bytes-longBodyBytes-b.granted, membudget.ForBody)
}

// advance records that a number of bytes were written to the space.
func (b *bodyBuffer) advance(bytes int) {
	last := &b.segments[len(b.segments)-1]
	*last = (*last)[:len(*last)+bytes]
	b.length += bytes
}

func (b *bodyBuffer) grant(bytes int) error {
	if bytes <= 0 {
		return nil
	}
	if !b.conn.Grow(b.memory, bytes, membudget.ForBody) {
		return reason.MemoryFull
	}
	b.granted += bytes
	return nil
}

// join returns the body in one piece. The error is reason.MemoryFull.
func (b *bodyBuffer) join() ([]byte, error) {
	if len(b.segments) == 0 {
		return nil, nil
	}
	if len(b.segments) == 1 {
		return b.segments[0], nil
	}
	segments := b.granted
	if b.length > longBodyBytes {
		if err := b.grant(b.length); err != nil {
			return nil, err
		}
	}
	whole := make([]byte, 0, b.length)
	for _, segment := range b.segments {
		whole = append(whole, segment...)
	}
	b.release()
	b.memory.Shrink(segments)
	b.granted -= segments
	return whole, nil
}
