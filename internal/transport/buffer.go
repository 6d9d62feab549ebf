package transport

import (
	"math/bits"
	"sync"
)

const (
	// minBodyShift and maxBodyShift bound the sizes of the pooled body buffers: 4 KiB (1 << 12) to 2 MiB (1 << 21).
	minBodyShift = 12
	maxBodyShift = 21
)

// bodyBufferPools has a pool for each size class. Class i holds buffers of 1 << (i + minBodyShift) bytes.
var bodyBufferPools [maxBodyShift - minBodyShift + 1]sync.Pool

// getBuffer returns an empty buffer with a capacity of at least size bytes.
func getBuffer(size int) []byte {
	class := sizeClass(size)
	if class >= len(bodyBufferPools) {
		return make([]byte, 0, size)
	}
	if pooled, ok := bodyBufferPools[class].Get().(*[]byte); ok {
		return (*pooled)[:0]
	}
	return make([]byte, 0, 1<<(class+minBodyShift))
}

// bufferCapacity returns the capacity of the buffer that getBuffer returns for a size.
func bufferCapacity(size int) int {
	if class := sizeClass(size); class < len(bodyBufferPools) {
		return 1 << (class + minBodyShift)
	}
	return size
}

// putBuffer returns a buffer to its pool. The caller must not use it afterwards. A buffer whose capacity is not that of a
// size class is left to the garbage collector.
func putBuffer(b []byte) {
	class := sizeClass(cap(b))
	if class >= len(bodyBufferPools) || cap(b) != 1<<(class+minBodyShift) {
		return
	}
	bodyBufferPools[class].Put(&b)
}

// sizeClass returns the index of the smallest size class for size bytes. It may be beyond the largest pooled class.
func sizeClass(size int) int {
	return max(0, bits.Len(uint(max(size, 1)-1))-minBodyShift)
}
