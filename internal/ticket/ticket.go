// Package ticket gives operations at-most-once execution. An instance issues
// tickets and alone decides about the operations that use them; every other
// instance forwards. A ticket runs at most one operation. An answer that says
// not run closes the ticket, so that a delayed copy of the same request cannot
// run later and contradict the answer.
//
// The package does no input or output. Time is the monotonic time since the
// start of the process and is an argument, like the key.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"
	"time"
)

// Key authenticates the tickets of one incarnation. It is random and never leaves the process.
type Key [32]byte

// Owner names the process that issued a ticket.
type Owner struct {
	// Instance is the instance's id.
	Instance string
	// Incarnation differs for each start of an instance.
	Incarnation uint64
}

// Ticket is the right to run one operation. It is immutable.
type Ticket struct {
	Owner Owner
	// Serial grows with each ticket of an incarnation.
	Serial uint64
	// Issued is the issue time on the owner's monotonic clock.
	Issued time.Duration
	mac    mac
}

// macBytes is the length of the truncated HMAC-SHA256: 128 bits resist guessing and keep the header short.
const macBytes = 16

type mac [macBytes]byte

const (
	formatVersion    = 1
	maxInstanceBytes = 63
	fixedBytes       = 2 + 3*8 + macBytes
	// maxTextBytes bounds the text of a ticket before it is decoded.
	maxTextBytes = (fixedBytes + maxInstanceBytes) * 4 / 3
)

// String returns the text of the ticket for the header.
func (t *Ticket) String() string {
	data := append(t.signed(), t.mac[:]...)
	return base64.RawURLEncoding.EncodeToString(data)
}

// signed returns the bytes that the HMAC covers.
func (t *Ticket) signed() []byte {
	data := make([]byte, 0, fixedBytes+len(t.Owner.Instance))
	data = append(data, formatVersion, byte(len(t.Owner.Instance)))
	data = append(data, t.Owner.Instance...)
	data = binary.BigEndian.AppendUint64(data, t.Owner.Incarnation)
	data = binary.BigEndian.AppendUint64(data, t.Serial)
	return binary.BigEndian.AppendUint64(data, uint64(t.Issued))
}

// Parse decodes the text of a ticket. It does not authenticate it; only the owner can.
func Parse(text string) (*Ticket, error) {
	if len(text) > maxTextBytes {
		return nil, &FormatError{Problem: "too long"}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, &FormatError{Problem: "not base64url"}
	}
	if len(data) < fixedBytes || data[0] != formatVersion || len(data) != fixedBytes+int(data[1]) {
		return nil, &FormatError{Problem: "wrong version or length"}
	}
	rest := data[2+int(data[1]):]
	t := &Ticket{
		Owner:  Owner{Instance: string(data[2 : 2+int(data[1])]), Incarnation: binary.BigEndian.Uint64(rest)},
		Serial: binary.BigEndian.Uint64(rest[8:]),
		Issued: time.Duration(binary.BigEndian.Uint64(rest[16:])),
	}
	copy(t.mac[:], rest[24:])
	return t, nil
}

// signer signs with one key. It keeps the prepared HMACs, whose set-up costs more than a signature. It is safe for
// concurrent use.
type signer struct{ hmacs sync.Pool }

func newSigner(key Key) *signer {
	return &signer{hmacs: sync.Pool{New: func() any { return hmac.New(sha256.New, key[:]) }}}
}

func (s *signer) sign(t *Ticket) mac {
	h := s.hmacs.Get().(hash.Hash)
	defer s.hmacs.Put(h)
	h.Reset()
	h.Write(t.signed())
	var sum [sha256.Size]byte
	return mac(h.Sum(sum[:0])[:macBytes])
}

func (s *signer) verify(t *Ticket) bool {
	expected := s.sign(t)
	return hmac.Equal(expected[:], t.mac[:])
}
