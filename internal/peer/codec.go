package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"time"
)

// MaxMessageBytes is the size limit of one message.
const MaxMessageBytes = 64 << 10

// codec is a gob codec for net/rpc whose messages are framed and bounded. It serves either end of a connection.
// Net/rpc calls its read methods from one goroutine and its write methods under a lock.
type codec struct {
	conn    net.Conn
	idle    time.Duration
	encoder *gob.Encoder
	decoder *gob.Decoder
	out     bytes.Buffer
}

// newCodec returns a codec. A read that waits longer than idle ends the connection; 0 waits for ever. With sameTypes
// both ends take the descriptions of the frequent types as sent.
func newCodec(conn net.Conn, idle time.Duration, sameTypes bool) *codec {
	c := &codec{conn: conn, idle: idle}
	c.encoder = gob.NewEncoder(&c.out)
	if !sameTypes {
		c.decoder = gob.NewDecoder(&frameReader{conn: conn})
		return c
	}
	describeTypes(c.encoder)
	c.decoder = gob.NewDecoder(io.MultiReader(bytes.NewReader(descriptions), &frameReader{conn: conn}))
	for range frequentTypes {
		_ = c.decoder.DecodeValue(reflect.Value{}) // a zero value discards what is read
	}
	return c
}

func (c *codec) WriteRequest(r *rpc.Request, body any) error   { return c.write(r, body) }
func (c *codec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if c.idle > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return err
		}
	}
	return c.decoder.Decode(r)
}

func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }
func (c *codec) ReadRequestBody(body any) error           { return c.decoder.Decode(body) }
func (c *codec) ReadResponseBody(body any) error          { return c.decoder.Decode(body) }
func (c *codec) Close() error                             { return c.conn.Close() }

// write sends header and body as one frame. After an error the stream is out of step, so the connection is closed.
func (c *codec) write(header, body any) error {
	err := c.frame(header, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *codec) frame(header, body any) error {
	c.out.Reset()
	c.out.Write(make([]byte, frameHeaderBytes))
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	size := c.out.Len() - frameHeaderBytes
	if size > MaxMessageBytes {
		return &SizeError{Bytes: size}
	}
	binary.BigEndian.PutUint32(c.out.Bytes(), uint32(size))
	if err := c.conn.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(c.out.Bytes())
	return err
}

const frameHeaderBytes = 4

// frameReader reads the content of frames and refuses frames beyond the size limit before reading them.
type frameReader struct {
	conn net.Conn
	left int
}

func (r *frameReader) Read(p []byte) (int, error) {
	for r.left == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(r.conn, header[:]); err != nil {
			return 0, err
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > MaxMessageBytes {
			return 0, &SizeError{Bytes: int(size)}
		}
		r.left = int(size)
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
