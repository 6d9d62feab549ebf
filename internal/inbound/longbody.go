package inbound

import (
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/basillink/basillink/internal/panicguard"
)

// readLongBody reads a body of known length into one buffer. The HTTP library would hold it in the buffer of the connection and
// copy it.
func (l Limits) readLongBody(c *app.RequestContext, conn network.Conn, length int) *Refusal {
	body := make([]byte, length)
	tracked := progress{conn: l.Conn}
	for read := 0; read < length; {
		n, err := conn.Read(body[read:])
		if n == 0 && err != nil {
			return refuseBodyError(err)
		}
		read += n
		tracked.add(n)
	}
	c.Request.SetBodyRaw(body)
	return nil
}

// readChunkedBody reads a chunked body and drops its trailer.
func (l Limits) readChunkedBody(c *app.RequestContext, conn network.Conn) *Refusal {
	buffer := &bodyBuffer{conn: l.Conn, memory: l.Memory}
	reader := &chunkReader{conn: conn, body: buffer, tracked: &progress{conn: l.Conn}, maxBytes: l.MaxBodyBytes}
	var body []byte
	err := panicguard.Catch(func() (err error) {
		if err = reader.read(); err == nil {
			body, err = buffer.join()
		}
		return err
	})
	if err != nil {
		buffer.release()
		return refuseBodyError(err)
	}
	c.Request.SetBodyRaw(body)
	c.Request.Header.SetContentLength(len(body))
	return nil
}
