package peer

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"net/rpc"
)

// frequentTypes are the types of every exchange. Gob describes each type once in each direction of a connection. With
// 200 instances that start together the descriptions were 3 of the 7.8 KB/s that each wrote, so that two processes
// whose descriptions are the same leave them out. A process of another version gets them.
var frequentTypes = []any{rpc.Request{}, rpc.Response{}, Exchange{}}

var (
	// descriptions are what an encoder writes for the frequent types. Gob numbers types in the order of their first
	// use in the process, which is fixed because this variable is initialized before main.
	descriptions = encodeDescriptions()
	// typesDigest is the end of the nonce in the handshake.
	typesDigest = digestOf(descriptions)
)

func encodeDescriptions() []byte {
	var out bytes.Buffer
	describeTypes(gob.NewEncoder(&out))
	return out.Bytes()
}

// describeTypes encodes a value of each frequent type.
func describeTypes(encoder *gob.Encoder) {
	for _, value := range frequentTypes {
		if err := encoder.Encode(value); err != nil {
			panic(err) // the types are fixed, so that every start of a process would fail
		}
	}
}

func digestOf(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:digestBytes]
}
