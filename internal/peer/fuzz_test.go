package peer

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
)

// recorded is a connection that only delivers bytes.
type recorded struct {
	net.Conn
	*bytes.Reader
}

func (r recorded) Read(p []byte) (int, error) { return r.Reader.Read(p) }

// Guards against a message of a peer that panics the decoder or the state machine, or that makes the state machine
// answer beyond the size limit.
func FuzzExchange(f *testing.F) {
	member := testMember("b", 2)
	seed := Exchange{From: member.Identity, Rumors: []Rumor{member.rumor()},
		Digests: []KindDigest{{Kind: KindDeparture, Digest: 7}}}
	for _, same := range []bool{true, false} {
		c := newCodec(nil, 0, same)
		c.out.Write(make([]byte, frameHeaderBytes))
		if err := c.encoder.Encode(rpc.Request{ServiceMethod: "Peer.Exchange", Seq: 1}); err != nil {
			f.Fatal(err)
		}
		if err := c.encoder.Encode(seed); err != nil {
			f.Fatal(err)
		}
		data := bytes.Clone(c.out.Bytes())
		data[2], data[3] = byte((len(data)-frameHeaderBytes)>>8), byte(len(data)-frameHeaderBytes)
		f.Add(data, same)
		f.Add(data[:len(data)/2], same)
	}
	f.Fuzz(func(t *testing.T, data []byte, same bool) {
		c := newCodec(recorded{Reader: bytes.NewReader(data)}, 0, same)
		g := newTestGossip(testMember("a", 1))
		for {
			var header rpc.Request
			var message Exchange
			if c.ReadRequestHeader(&header) != nil || c.ReadRequestBody(&message) != nil {
				return
			}
			var answer bytes.Buffer
			err := gob.NewEncoder(&answer).Encode(g.HandleRequest(0, message))
			if err != nil || answer.Len() > MaxMessageBytes {
				t.Fatalf("an answer of %d bytes, error %v", answer.Len(), err)
			}
		}
	})
}
