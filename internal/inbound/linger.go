package inbound

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	// lingerTime and lingerBytes bound how much is read from a caller whose request was refused before its end.
	// Closing with unread bytes resets the connection, and the caller may then lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// Linger tells the caller that the answer has ended and reads on until the caller closes, within bounds.
func Linger(ctx context.Context) {
	socket, ok := ctx.Value(socketKey{}).(*net.TCPConn)
	if !ok || socket.CloseWrite() != nil {
		return
	}
	if socket.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, socket, lingerBytes)
	}
}
