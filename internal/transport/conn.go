// Package transport opens connections to targets and runs one exchange at a time
// on each of them. Messages are encoded and decoded by hertz; connections are
// handled here, so that no library repeats a request by itself and every failure
// says whether the request may have been sent.
package transport

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

// connBufferBytes bounds the headers of an answer, which the codec reads from one buffer.
const connBufferBytes = 16 << 10

// Conn is one connection. It carries one exchange at a time and is not safe for
// concurrent use, except for Close.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// pending holds the bytes reserved by Malloc until Flush.
	pending  []byte
	opened   time.Time
	lastUsed time.Time
	uses     int
}

func dial(ctx context.Context, address string) (*Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Conn{
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, connBufferBytes),
		writer:   bufio.NewWriterSize(raw, 4<<10),
		opened:   now,
		lastUsed: now,
	}, nil
}

// Close closes the connection and interrupts an exchange on it.
func (c *Conn) Close() error { return c.raw.Close() }

// readable reports whether the peer has closed the idle connection or sent bytes that nobody asked for.
// Either way the connection must not carry another exchange.
func (c *Conn) readable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return true
	}
	unexpected := true
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unexpected = recvErr != syscall.EAGAIN
		return true
	})
	return err != nil || unexpected
}

// Peek implements network.Reader.
func (c *Conn) Peek(n int) ([]byte, error) { return c.reader.Peek(n) }

// Skip implements network.Reader.
func (c *Conn) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Release implements network.Reader.
func (c *Conn) Release() error { return nil }

// Len implements network.Reader.
func (c *Conn) Len() int { return c.reader.Buffered() }

// ReadByte implements network.Reader.
func (c *Conn) ReadByte() (byte, error) { return c.reader.ReadByte() }

// ReadBinary implements network.Reader.
func (c *Conn) ReadBinary(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := readFull(c.reader, p)
	return p, err
}

// Read implements io.Reader, which the codec uses for large bodies.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Malloc implements network.Writer.
func (c *Conn) Malloc(n int) ([]byte, error) {
	if err := c.writePending(); err != nil {
		return nil, err
	}
	c.pending = make([]byte, n)
	return c.pending, nil
}

// WriteBinary implements network.Writer.
func (c *Conn) WriteBinary(b []byte) (int, error) {
	if err := c.writePending(); err != nil {
		return 0, err
	}
	return c.writer.Write(b)
}

// Flush implements network.Writer.
func (c *Conn) Flush() error {
	if err := c.writePending(); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *Conn) writePending() error {
	if c.pending == nil {
		return nil
	}
	_, err := c.writer.Write(c.pending)
	c.pending = nil
	return err
}
