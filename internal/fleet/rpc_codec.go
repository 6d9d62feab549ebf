package fleet

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"

	"github.com/basillink/basillink/internal/panicguard"
)

const (
	// maxCallBytes is how many bytes a connection may take for its call, which holds a few numbers, and the descriptions of the types.
	maxCallBytes = 16 << 10
	// maxReplyBytes is how many bytes a connection may take for the answer: the configuration, the records of targets and the crash
	// marks.
	maxReplyBytes = 16 << 20
)

// gobCodec is a net/rpc client and server codec with the wire format of the codecs of net/rpc. It returns panics of the
// decoder as errors: net/rpc decodes the answers to a client in a goroutine of its own, where nobody could recover from them. It bounds
// what a connection may send, because the decoder holds a message whatever its length.
type gobCodec struct {
	conn    net.Conn
	buffer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// newGobCodec returns a codec that reads messages of at most maxBytes in all from the connection.
func newGobCodec(conn net.Conn, maxBytes uint64) *gobCodec {
	buffer := bufio.NewWriter(conn)
	decoder := gob.NewDecoder(newMessageReader(conn, maxBytes))
	return &gobCodec{conn: conn, buffer: buffer, encoder: gob.NewEncoder(buffer), decoder: decoder}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestHeader(r *rpc.Request) error { return c.read(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *gobCodec) ReadRequestBody(body any) error { return c.read(body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *gobCodec) ReadResponseHeader(r *rpc.Response) error { return c.read(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *gobCodec) ReadResponseBody(body any) error { return c.read(body) }

// WriteRequest implements rpc.ClientCodec.
func (c *gobCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// WriteResponse implements rpc.ServerCodec.
func (c *gobCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *gobCodec) Close() error { return c.conn.Close() }

// read decodes the next value. A nil value is read and discarded.
func (c *gobCodec) read(value any) error {
	return panicguard.Catch(func() error { return c.decoder.Decode(value) })
}

// write sends a header and a body. It closes the connection after an error, because the peer can no longer decode the stream.
func (c *gobCodec) write(header, body any) error {
	err := c.encoder.Encode(header)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}
