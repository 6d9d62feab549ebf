package inbound

import (
	"bytes"
	"errors"
	"io"

	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/basillink/basillink/internal/reason"
)

const (
	// maxChunkLineBytes bounds the line with the size of a chunk.
	maxChunkLineBytes = 256
	// maxChunkDigits bounds the digits of a size, so that it does not overflow.
	maxChunkDigits = 15
	// maxTrailerBytes bounds the trailer of a chunked body, which is checked and dropped.
	maxTrailerBytes = 8 << 10
)

// ChunkError reports a chunked body that is not encoded as RFC 9112 demands, or that has an extension.
type ChunkError struct{ Detail string }

func (e *ChunkError) Error() string { return "malformed chunked body: " + e.Detail }

// chunkReader decodes a chunked body. It reads what has arrived, at most the buffer of the connection, and never waits for a whole
// chunk.
type chunkReader struct {
	conn network.Conn
	body *bodyBuffer
	// tracked is told of progress.
	tracked *progress
	// maxBytes is the largest accepted body.
	maxBytes int
	// window is what was peeked at, and used the part of it that is decoded.
	window []byte
	used   int
}

// read decodes the whole body, including its trailer, and leaves what follows in the connection. The errors are *ChunkError,
// reason.BodyTooLarge, reason.MemoryFull and those of the connection.
func (r *chunkReader) read() error {
	for {
		size, err := r.readSize()
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		if size > r.maxBytes-r.body.length {
			return reason.BodyTooLarge
		}
		if !r.body.mayHold(size) {
			return reason.MemoryFull
		}
		if err := r.readData(size); err != nil {
			return err
		}
		if err := r.expectLineEnd(); err != nil {
			return err
		}
	}
	if err := r.skipTrailer(); err != nil {
		return err
	}
	return r.conn.Skip(r.used)
}

// fill discards the window and waits for further bytes.
func (r *chunkReader) fill() error {
	if err := r.discard(); err != nil {
		return err
	}
	if _, err := r.conn.Peek(1); err != nil {
		return err
	}
	window, err := r.conn.Peek(r.conn.Len())
	r.window = window
	r.tracked.add(len(window))
	return err
}

// discard removes the window from the connection and frees its buffer.
func (r *chunkReader) discard() error {
	if len(r.window) == 0 {
		return nil
	}
	err := r.conn.Skip(len(r.window))
	r.window, r.used = nil, 0
	if err != nil {
		return err
	}
	return r.conn.Release()
}

func (r *chunkReader) readByte() (byte, error) {
	if r.used == len(r.window) {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	b := r.window[r.used]
	r.used++
	return b, nil
}

// readSize decodes the line with the size of a chunk: hexadecimal digits, and spaces, which some senders append.
func (r *chunkReader) readSize() (int, error) {
	size, digits := 0, 0
	for length := 0; length < maxChunkLineBytes; length++ {
		b, err := r.readByte()
		if err != nil {
			return 0, err
		}
		digit, isDigit := hexDigit(b)
		switch {
		case isDigit && digits == length && digits < maxChunkDigits:
			size, digits = size<<4|digit, digits+1
		case digits == 0:
			return 0, &ChunkError{"no size of a chunk"}
		case b == '\r':
			return size, r.expectByte('\n')
		case b != ' ':
			return 0, &ChunkError{"an unexpected byte after the size of a chunk"}
		}
	}
	return 0, &ChunkError{"the line with the size of a chunk is too long"}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (int, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10, true
	}
	return 0, false
}

func (r *chunkReader) expectByte(want byte) error {
	b, err := r.readByte()
	if err == nil && b != want {
		return &ChunkError{"a line does not end with CR and LF"}
	}
	return err
}

func (r *chunkReader) expectLineEnd() error {
	if err := r.expectByte('\r'); err != nil {
		return err
	}
	return r.expectByte('\n')
}

// readData copies the data of a chunk into the body as it arrives.
func (r *chunkReader) readData(size int) error {
	for size > 0 {
		space, err := r.body.space(size)
		if err != nil {
			return err
		}
		n, err := r.readSome(space)
		if err != nil {
			return err
		}
		r.body.advance(n)
		size -= n
	}
	return nil
}

// readSome reads at least one byte. It reads from the connection into the body directly if much is to come.
func (r *chunkReader) readSome(space []byte) (int, error) {
	if r.used == len(r.window) {
		if err := r.discard(); err != nil {
			return 0, err
		}
		if len(space) > ProgressBytes && r.conn.Len() == 0 {
			n, err := r.conn.Read(space)
			r.tracked.add(n)
			if n > 0 {
				return n, nil
			}
			return 0, err
		}
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(space, r.window[r.used:])
	r.used += n
	return n, nil
}

// skipTrailer reads the trailer to the empty line that ends it. A connection that ends before the trailer is accepted, as the last
// chunk was complete.
func (r *chunkReader) skipTrailer() error {
	line := make([]byte, 0, 64)
	for total := 0; ; total++ {
		if total > maxTrailerBytes {
			return &ChunkError{"the trailer is too long"}
		}
		b, err := r.readByte()
		if err != nil {
			if total == 0 && errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if b != '\n' {
			line = append(line, b)
			continue
		}
		if line = bytes.TrimSuffix(line, []byte{'\r'}); len(line) == 0 {
			return nil
		}
		if err := checkTrailerLine(line); err != nil {
			return err
		}
		line = line[:0]
	}
}

// checkTrailerLine rejects lines that are no field, and fields that must not stand in a trailer.
func checkTrailerLine(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || bytes.ContainsAny(name, " \t") {
		return &ChunkError{"a line of the trailer is no field"}
	}
	canonical := bytes.Clone(name)
	utils.NormalizeHeaderKey(canonical, false)
	if len(name) > 0 && protocol.IsBadTrailer(canonical) {
		return &ChunkError{"the trailer has a forbidden field"}
	}
	return nil
}
