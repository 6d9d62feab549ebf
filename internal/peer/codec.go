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

	"github.com/basillink/basillink/internal/panicguard"
)

// MaxMessageBytes is the maximum size of one framed message in bytes, without the frame header.
const MaxMessageBytes = 64 << 10

// codec is a net/rpc client and server codec that sends gob in length-prefixed frames of limited size. net/rpc calls
// its read methods from one goroutine and serializes its write methods.
type codec struct {
	conn        net.Conn
	idleTimeout time.Duration
	encoder     *gob.Encoder
	decoder     *gob.Decoder
	writeBuf    bytes.Buffer
}

// newCodec returns a codec for conn. As a server codec it fails a read that waits longer than idleTimeout for the next
// request; 0 disables the timeout. If sameTypes is set, both ends preload the type descriptors of frequentTypes instead
// of sending them.
func newCodec(conn net.Conn, idleTimeout time.Duration, sameTypes bool) *codec {
	c := &codec{conn: conn, idleTimeout: idleTimeout}
	c.encoder = gob.NewEncoder(&c.writeBuf)
	if !sameTypes {
		c.decoder = gob.NewDecoder(&frameReader{conn: conn})
		return c
	}
	writeTypeDescriptors(c.encoder)
	c.decoder = gob.NewDecoder(io.MultiReader(bytes.NewReader(typeDescriptors), &frameReader{conn: conn}))
	for range frequentTypes {
		_ = c.decoder.DecodeValue(reflect.Value{}) // the zero reflect.Value discards the decoded value
	}
	return c
}

func (c *codec) WriteRequest(r *rpc.Request, body any) error   { return c.write(r, body) }
func (c *codec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if c.idleTimeout > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return err
		}
	}
	return c.read(r)
}

func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.read(r) }
func (c *codec) ReadRequestBody(body any) error           { return c.read(body) }
func (c *codec) ReadResponseBody(body any) error          { return c.read(body) }
func (c *codec) Close() error                             { return c.conn.Close() }

// read decodes the next value. It returns a panic of the decoder as an error, because net/rpc decodes in goroutines of its
// own, where nobody could recover from it.
func (c *codec) read(value any) error {
	return panicguard.Catch(func() error { return c.decoder.Decode(value) })
}

// write sends header and body as one frame. It closes the connection after an error, because the peer can no longer
// decode the gob stream.
func (c *codec) write(header, body any) error {
	err := c.writeFrame(header, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// writeFrame encodes header and body into one frame and writes it. It returns a *SizeError if they exceed
// MaxMessageBytes.
func (c *codec) writeFrame(header, body any) error {
	c.writeBuf.Reset()
	c.writeBuf.Write(make([]byte, frameHeaderBytes))
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	size := c.writeBuf.Len() - frameHeaderBytes
	if size > MaxMessageBytes {
		return &SizeError{Bytes: size}
	}
	binary.BigEndian.PutUint32(c.writeBuf.Bytes(), uint32(size))
	if err := c.conn.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(c.writeBuf.Bytes())
	return err
}

// frameHeaderBytes is the size of the big-endian length that precedes the payload of a frame.
const frameHeaderBytes = 4

// frameReader reads the payload of consecutive frames. It returns a *SizeError for a frame larger than
// MaxMessageBytes without reading its payload.
type frameReader struct {
	conn      net.Conn
	remaining int
}

func (r *frameReader) Read(p []byte) (int, error) {
	for r.remaining == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(r.conn, header[:]); err != nil {
			return 0, err
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > MaxMessageBytes {
			return 0, &SizeError{Bytes: int(size)}
		}
		r.remaining = int(size)
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
