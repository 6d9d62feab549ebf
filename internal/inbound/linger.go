package inbound

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	// lingerTime and lingerBytes bound the lingering close of a connection whose request was refused before it was read
	// completely. Closing a socket with unread bytes resets the connection, and the caller may then lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// Linger performs a lingering close after the answer has been written: it closes the sending half of the connection, and discards
// input until the caller closes it too, for at most lingerTime and lingerBytes. The context must carry the socket of the connection.
func Linger(ctx context.Context) {
	socket, ok := ctx.Value(socketKey{}).(*net.TCPConn)
	if !ok || socket.CloseWrite() != nil {
		return
	}
	if socket.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, socket, lingerBytes)
	}
}
