package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"testing"

	"github.com/basillink/basillink/internal/panicguard"
)

// replayConn is a connection that only delivers the bytes of its reader.
type replayConn struct {
	net.Conn
	*bytes.Reader
}

func (r replayConn) Read(p []byte) (int, error) { return r.Reader.Read(p) }

// Guards against a message from a peer that makes the decoder or the state machine panic, or makes the state machine
// respond with a message beyond the size limit.
func FuzzExchange(f *testing.F) {
	member := testMember("b", 2)
	seed := Exchange{From: member.Identity, Rumors: []Rumor{member.rumor()},
		Digests: []KindDigest{{Kind: KindDeparture, Digest: 7}}}
	for _, same := range []bool{true, false} {
		c := newCodec(nil, 0, same)
		c.writeBuf.Write(make([]byte, frameHeaderBytes))
		if err := c.encoder.Encode(rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}); err != nil {
			f.Fatal(err)
		}
		if err := c.encoder.Encode(seed); err != nil {
			f.Fatal(err)
		}
		data := bytes.Clone(c.writeBuf.Bytes())
		data[2], data[3] = byte((len(data)-frameHeaderBytes)>>8), byte(len(data)-frameHeaderBytes)
		f.Add(data, same)
		f.Add(data[:len(data)/2], same)
	}
	f.Fuzz(func(t *testing.T, data []byte, same bool) {
		c := newCodec(replayConn{Reader: bytes.NewReader(data)}, 0, same)
		g := newTestGossip(testMember("a", 1))
		for {
			var header rpc.Request
			var message Exchange
			err := c.ReadRequestHeader(&header)
			if err == nil {
				err = c.ReadRequestBody(&message)
			}
			var panicked *panicguard.Error
			if errors.As(err, &panicked) {
				t.Fatalf("the decoder panicked: %v", err)
			}
			if err != nil {
				return
			}
			var response bytes.Buffer
			err = gob.NewEncoder(&response).Encode(g.HandleRequest(0, message))
			if err != nil || response.Len() > MaxMessageBytes {
				t.Fatalf("response of %d bytes, error %v", response.Len(), err)
			}
		}
	})
}
