package inbound

import (
	"bytes"
	"io"

	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/framing"
	"github.com/basillink/basillink/internal/membudget"
	"github.com/basillink/basillink/internal/reason"
)

// readHeadBytes waits for a complete head. It returns the head and a reader that begins with it.
func (l Limits) readHeadBytes(conn network.Conn) ([]byte, network.Reader, *Refusal) {
	if _, err := conn.Peek(1); err != nil {
		return nil, nil, refuseReadError(err, reason.BadFraming)
	}
	available, err := conn.Peek(conn.Len())
	if err != nil {
		return nil, nil, &Refusal{reason.BadFraming, err}
	}
	end, refusal := l.findHeadEnd(available)
	if refusal != nil {
		return nil, nil, refusal
	}
	if end > 0 {
		return available[:end], conn, nil
	}
	head, refusal := l.collectHead(conn)
	if refusal != nil {
		return nil, nil, refusal
	}
	return head, &bytesReader{rest: head}, nil
}

// findHeadEnd returns the length of the head if it is complete, and 0 otherwise.
func (l Limits) findHeadEnd(available []byte) (int, *Refusal) {
	end := framing.HeadEnd(available)
	if end > l.MaxHeaderBytes || end == 0 && len(available) > l.MaxHeaderBytes {
		return 0, refuse(reason.HeaderTooLarge)
	}
	if end == 0 && malformedStart(available) {
		return 0, refuse(reason.BadRequestLine)
	}
	return end, nil
}

// headCost is how many bytes are held for each byte of a head that does not arrive at once: the copy, its growth, and the parsed
// headers.
const headCost = 4

// collectHead reads a head that does not arrive at once, and leaves what follows it in the connection. It copies the head, because
// the connection would keep a copy of all that it holds for each call of Peek.
func (l Limits) collectHead(conn network.Conn) ([]byte, *Refusal) {
	var head []byte
	for {
		if _, err := conn.Peek(1); err != nil {
			return nil, refuseReadError(err, reason.BadFraming)
		}
		available, err := conn.Peek(conn.Len())
		if err != nil {
			return nil, &Refusal{reason.BadFraming, err}
		}
		if !l.Conn.Grow(l.Memory, headCost*len(available), membudget.ForBody) {
			return nil, refuse(reason.MemoryFull)
		}
		before := len(head)
		head = append(head, available...)
		end, refusal := l.findHeadEnd(head)
		if refusal != nil {
			return nil, refusal
		}
		used := len(available)
		if end > 0 {
			used = end - before
		}
		if conn.Skip(used) != nil || conn.Release() != nil {
			return nil, &Refusal{reason.BadFraming, io.ErrUnexpectedEOF}
		}
		if end > 0 {
			return head[:end], nil
		}
	}
}

// malformedStart reports whether the first line is complete but not a valid request line. A caller that speaks another protocol
// is then refused at once instead of after the header timeout.
func malformedStart(available []byte) bool {
	line, _, found := bytes.Cut(available, []byte{'\n'})
	return found && !ValidRequestLine(bytes.TrimSuffix(line, []byte{'\r'}))
}

// bytesReader is a network.Reader of bytes in memory.
type bytesReader struct{ rest []byte }

// Peek implements network.Reader.
func (r *bytesReader) Peek(n int) ([]byte, error) {
	if n > len(r.rest) {
		return r.rest, io.EOF
	}
	return r.rest[:n], nil
}

// Skip implements network.Reader.
func (r *bytesReader) Skip(n int) error {
	if n > len(r.rest) {
		return io.EOF
	}
	r.rest = r.rest[n:]
	return nil
}

// Release implements network.Reader.
func (r *bytesReader) Release() error { return nil }

// Len implements network.Reader.
func (r *bytesReader) Len() int { return len(r.rest) }

// ReadByte implements network.Reader.
func (r *bytesReader) ReadByte() (byte, error) {
	b, err := r.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary implements network.Reader.
func (r *bytesReader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	r.rest = r.rest[n:]
	return b, nil
}
