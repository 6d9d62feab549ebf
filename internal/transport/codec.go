package transport

import "io"

// The methods below implement network.Reader and network.Writer of hertz, so that its codec can read from and write to a
// Conn.

// Peek implements network.Reader.
func (c *Conn) Peek(n int) ([]byte, error) { return c.reader.Peek(n) }

// Skip implements network.Reader.
func (c *Conn) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Release implements network.Reader. It does nothing.
func (c *Conn) Release() error { return nil }

// Len implements network.Reader.
func (c *Conn) Len() int { return c.reader.Buffered() }

// ReadByte implements network.Reader.
func (c *Conn) ReadByte() (byte, error) { return c.reader.ReadByte() }

// ReadBinary implements network.Reader.
func (c *Conn) ReadBinary(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(c.reader, p)
	return p, err
}

// Malloc implements network.Writer.
func (c *Conn) Malloc(n int) ([]byte, error) {
	if err := c.writeReserved(); err != nil {
		return nil, err
	}
	c.reserved = make([]byte, n)
	return c.reserved, nil
}

// WriteBinary implements network.Writer.
func (c *Conn) WriteBinary(b []byte) (int, error) {
	if err := c.writeReserved(); err != nil {
		return 0, err
	}
	return c.writer.Write(b)
}

// Flush implements network.Writer.
func (c *Conn) Flush() error {
	if err := c.writeReserved(); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeReserved writes the buffer that the last Malloc returned. The codec has filled it by the time of the next call.
func (c *Conn) writeReserved() error {
	if c.reserved == nil {
		return nil
	}
	_, err := c.writer.Write(c.reserved)
	c.reserved = nil
	return err
}
