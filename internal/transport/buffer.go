package transport

import (
	"math/bits"
	"sync"
)

const (
	// minBodyShift and maxBodyShift bound the sizes of the body buffers that are kept for reuse, 4 KiB to 2 MiB.
	minBodyShift = 12
	maxBodyShift = 21
)

// bodyBuffers keeps buffers by size, which is a power of two. It is safe for concurrent use.
var bodyBuffers [maxBodyShift - minBodyShift + 1]sync.Pool

// takeBuffer returns an empty buffer with room for at least size bytes.
func takeBuffer(size int) []byte {
	class := bufferClass(size)
	if class >= len(bodyBuffers) {
		return make([]byte, 0, size)
	}
	if kept, ok := bodyBuffers[class].Get().(*[]byte); ok {
		return (*kept)[:0]
	}
	return make([]byte, 0, 1<<(class+minBodyShift))
}

// keepBuffer takes back a buffer that is no longer used. Buffers of other sizes are left to the collector.
func keepBuffer(b []byte) {
	class := bufferClass(cap(b))
	if class >= len(bodyBuffers) || cap(b) != 1<<(class+minBodyShift) {
		return
	}
	bodyBuffers[class].Put(&b)
}

// bufferClass returns the index of the smallest class that holds size bytes.
func bufferClass(size int) int {
	return max(0, bits.Len(uint(max(size, 1)-1))-minBodyShift)
}
