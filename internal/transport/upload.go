package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// upload is a request that is written while its answer is read.
type upload struct {
	raw net.Conn
	// done is closed when the writing of the request has ended. err is then its error, or nil if the whole request was written.
	done chan struct{}
	err  error
}

// startUpload starts to write a request.
func (c *Conn) startUpload(request *protocol.Request) *upload {
	u := &upload{raw: c.raw, done: make(chan struct{})}
	c.upload = u
	go func() {
		defer close(u.done)
		u.err = c.send(request)
	}()
	return u
}

// ended reports whether the writing of the request has ended.
func (u *upload) ended() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// pastDeadline is a deadline that interrupts a pending Write.
var pastDeadline = time.Unix(1, 0)

// confirmEOF returns io.EOF if the peer closed its side of the connection in order, and otherwise the error that ended the
// connection. It is called after a Read returned io.EOF, and ends the upload.
//
// The kernel reports an error of a connection once, to a Read or to a Write. Every later Read returns io.EOF, as it does after an
// orderly close. So io.EOF proves an orderly close only if the upload got no such error. EPIPE is none: it is what a Write gets if
// the peer reset the connection after an orderly close.
func (u *upload) confirmEOF() error {
	// If this fails, the connection is closed, which ends the upload as well.
	_ = u.raw.SetWriteDeadline(pastDeadline)
	<-u.done
	interrupted := errors.Is(u.err, os.ErrDeadlineExceeded)
	if u.err == nil || interrupted || errors.Is(u.err, syscall.EPIPE) {
		return io.EOF
	}
	return u.err
}
