//go:build !race

package crowd

import (
	"strings"
	"testing"
	"time"
)

// Guards against uploads in one chunk that stop short of its end that take the memory or the descriptors of the process.
func TestRunLargeChunks(t *testing.T) {
	crowd{64, oneChunk(8 << 20)}.check(t, startRun)
}

// Guards against uploads in chunks of 1 MiB that stop short of their end that take the memory or the descriptors of the process.
func TestRunMediumChunks(t *testing.T) {
	crowd{64, upload(chunkedHead, chunks(1<<20), 8<<20-shortOfEnd)}.check(t, startRun)
}

// Guards against uploads in chunks of 4 KiB that stop short of their end that take the memory or the descriptors of the process.
func TestRunSmallChunks(t *testing.T) {
	crowd{300, upload(chunkedHead, chunks(4<<10), 2<<20-shortOfEnd)}.check(t, startRun)
}

// Guards against uploads in chunks of 64 bytes that stop short of their end that take the memory or the descriptors of the process.
func TestRunTinyChunks(t *testing.T) {
	crowd{400, upload(chunkedHead, chunks(64), 1<<20-shortOfEnd)}.check(t, startRun)
}

// Guards against uploads in chunks of one byte that stop short of their end, which take six times as many bytes on the wire that take the memory or the descriptors of the process.
func TestRunSingleByteChunks(t *testing.T) {
	crowd{400, upload(chunkedHead, chunks(1), 1<<20-shortOfEnd)}.check(t, startRun)
}

// Guards against uploads with a length that stop short of their end that take the memory or the descriptors of the process.
func TestRunDeclaredLengths(t *testing.T) {
	crowd{64, declared(8 << 20)}.check(t, startRun)
}

// Guards against many bodies that are just short enough to be accepted without memory of their own that take the memory or the descriptors of the process.
func TestRunChunksBelowGrant(t *testing.T) {
	crowd{800, oneChunk(16<<10 - 2)}.check(t, startRun)
}

// Guards against many bodies with a length that are just short enough to be accepted without memory of their own that take the memory or the descriptors of the process.
func TestRunLengthsBelowGrant(t *testing.T) {
	crowd{800, declared(16 << 10)}.check(t, startRun)
}

// Guards against chunk lines without an end that take the memory or the descriptors of the process.
func TestRunEndlessChunkLines(t *testing.T) {
	crowd{64, upload(chunkedHead+"1", strings.Repeat(" ", 1<<20), 8<<20)}.check(t, startRun)
}

// Guards against chunk extensions without an end that take the memory or the descriptors of the process.
func TestRunEndlessExtensions(t *testing.T) {
	crowd{64, upload(chunkedHead+"1;", filler, 8<<20)}.check(t, startRun)
}

// Guards against trailers without an end that take the memory or the descriptors of the process.
func TestRunEndlessTrailers(t *testing.T) {
	crowd{64, upload(chunkedHead+"1\r\nz\r\n0\r\n", strings.Repeat("X-More: z\r\n", 1<<16), 8<<20)}.check(t, startRun)
}

// Guards against a line of a trailer without an end that take the memory or the descriptors of the process.
func TestRunEndlessTrailerLines(t *testing.T) {
	crowd{64, upload(chunkedHead+"1\r\nz\r\n0\r\nX-More: z", filler, 8<<20)}.check(t, startRun)
}

// Guards against callers that come again on new connections after each upload that take the memory or the descriptors of the process.
func TestRunNewConnections(t *testing.T) {
	crowd{32, again(8, oneChunk(4<<20))}.check(t, startRun)
}

// Guards against uploads that go on with a byte from time to time that take the memory or the descriptors of the process.
func TestRunTrickles(t *testing.T) {
	crowd{300, trickle(oneChunk(512<<10), 250*time.Millisecond)}.check(t, startRun)
}

// Guards against heads that arrive in single bytes that take the memory or the descriptors of the process.
func TestRunTricklingHeads(t *testing.T) {
	crowd{64, trickle(partialHead(6<<10), 500*time.Microsecond)}.check(t, startRun)
}

// Guards against many heads that stop short of their end that take the memory or the descriptors of the process.
func TestRunPartialHeads(t *testing.T) {
	crowd{800, partialHead(12 << 10)}.check(t, startRun)
}

// Guards against callers that do not read large answers that take the memory or the descriptors of the process.
func TestRunUnreadAnswers(t *testing.T) {
	crowd{600, unread(4)}.check(t, startRun)
}

// Guards against more connections than the process has descriptors that take the memory or the descriptors of the process.
func TestRunSilentConnections(t *testing.T) {
	crowd{1500, silent}.check(t, startRun)
}
