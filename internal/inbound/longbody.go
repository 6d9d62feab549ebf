package inbound

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
)

// longBodyBytes is the length from which on a body is allocated from the memory budget. Shorter ones are part of what every
// request needs.
const longBodyBytes = 16 << 10

// readLongBody reads a body of known length into one buffer. The HTTP library would hold it in the buffer of the connection and
// copy it.
func readLongBody(c *app.RequestContext, conn network.Conn, length int) *Refusal {
	body := make([]byte, length)
	if _, err := io.ReadFull(conn, body); err != nil {
		return refuseReadError(err, reason.BodyTruncated)
	}
	c.Request.SetBodyRaw(body)
	return nil
}

// grantReader allocates a chunked body from the memory budget as its chunks are read. The library peeks at a whole chunk.
type grantReader struct {
	network.Reader
	memory *membudget.Grant
	// peeked is the number of bytes of the body that were peeked at.
	peeked int
	// granted is the number of bytes that were allocated for them.
	granted int
}

// bytesPerChunkByte is how many bytes are held for each byte of a chunk: it is in the buffer of the connection, and the
// buffer of the body doubles when it is full.
const bytesPerChunkByte = 3

// Peek implements network.Reader. The error is reason.MemoryFull if the memory budget does not have the bytes.
func (r *grantReader) Peek(n int) ([]byte, error) {
	if r.peeked += n; r.peeked > longBodyBytes {
		needed := bytesPerChunkByte * r.peeked
		if !r.memory.Grow(needed-r.granted, membudget.ForBody) {
			return nil, reason.MemoryFull
		}
		r.granted = needed
	}
	return r.Reader.Peek(n)
}
