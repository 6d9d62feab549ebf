package transport

import "syscall"

// readable reports whether the peer has closed the idle connection or sent unsolicited bytes. In both cases the connection
// must not carry another exchange.
func (c *Conn) readable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	unexpected := true
	err := c.control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unexpected = recvErr != syscall.EAGAIN
	})
	return err != nil || unexpected
}

// control calls f with the file descriptor of the connection.
func (c *Conn) control(f func(fd uintptr)) error {
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return &NoDescriptorError{}
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return err
	}
	return rawConn.Control(f)
}
