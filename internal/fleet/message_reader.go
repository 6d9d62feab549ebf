package fleet

import (
	"bufio"
	"fmt"
	"io"
	"math"
)

// MessageSizeError reports a message of a peer that is longer than a connection may send.
type MessageSizeError struct{ Bytes, Limit uint64 }

func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("a message of %d bytes is longer than the %d that the connection may send", e.Bytes, e.Limit)
}

// messageReader passes on the messages of a gob stream, each of which begins with its length. It refuses one that is longer than what
// is left of the limit of the connection before the decoder sees the length, because the decoder allocates that much at once.
type messageReader struct {
	reader *bufio.Reader
	// limit is the number of bytes that all messages of the connection may have, and taken that of the messages so far.
	limit, taken uint64
	// prefix is the part of the length, and left the number of bytes of the message, that were not passed on yet.
	prefix []byte
	left   uint64
}

func newMessageReader(r io.Reader, limit uint64) *messageReader {
	return &messageReader{reader: bufio.NewReader(r), limit: limit}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if len(m.prefix) == 0 && m.left == 0 {
		if err := m.begin(); err != nil {
			return 0, err
		}
	}
	if len(m.prefix) > 0 {
		n := copy(p, m.prefix)
		m.prefix = m.prefix[n:]
		return n, nil
	}
	n, err := m.reader.Read(p[:min(uint64(len(p)), m.left)])
	m.left -= uint64(n)
	return n, err
}

const (
	// maxShortLength is the largest length that is encoded as itself in one byte. Otherwise the first byte is the negated number of
	// bytes that follow, in big-endian order.
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// begin reads the length of the next message.
func (m *messageReader) begin() error {
	first, err := m.reader.ReadByte()
	if err != nil {
		return err
	}
	m.prefix, m.left = append(m.prefix[:0], first), uint64(first)
	if first > maxShortLength {
		following := -int(int8(first))
		if following > maxLengthBytes {
			return &MessageSizeError{Bytes: math.MaxUint64, Limit: m.limit - m.taken}
		}
		m.left = 0
		for range following {
			next, err := m.reader.ReadByte()
			if err != nil {
				return io.ErrUnexpectedEOF
			}
			m.prefix, m.left = append(m.prefix, next), m.left<<8|uint64(next)
		}
	}
	if m.left > m.limit-m.taken {
		return &MessageSizeError{Bytes: m.left, Limit: m.limit - m.taken}
	}
	m.taken += m.left
	return nil
}
