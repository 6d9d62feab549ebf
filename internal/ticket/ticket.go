// Package ticket implements at-most-once execution of operations. An instance
// issues tickets and is the only one that decides about the operations that use
// them; all other instances forward requests to it. A ticket runs at most one
// operation. If a request is answered as not run, its ticket is closed, so that a
// delayed copy of the request cannot run later and contradict the answer.
//
// The package does no I/O. Times are arguments, relative to the start of the
// process on its monotonic clock.
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

// Owner identifies the process that issued a ticket.
type Owner struct {
	// Instance is the instance's id.
	Instance string
	// Incarnation is different for each start of an instance.
	Incarnation uint64
}

// Ticket permits one operation to run. It is immutable.
type Ticket struct {
	Owner Owner
	// Serial increases with each ticket of an incarnation.
	Serial uint64
	// Issued is the issue time on the owner's monotonic clock.
	Issued time.Duration
	mac    mac
}

// macBytes is the length of the truncated HMAC-SHA256. 128 bits cannot be guessed and keep the header short.
const macBytes = 16

type mac [macBytes]byte

const (
	formatVersion    = 1
	maxInstanceBytes = 63
	fixedBytes       = 2 + 3*8 + macBytes
	// maxTextBytes is the maximum length of a ticket's text, checked before decoding.
	maxTextBytes = (fixedBytes + maxInstanceBytes) * 4 / 3
)

// String returns the text of the ticket, as sent in headers.
func (t *Ticket) String() string {
	data := append(t.signedBytes(), t.mac[:]...)
	return base64.RawURLEncoding.EncodeToString(data)
}

// signedBytes returns the bytes that the HMAC covers.
func (t *Ticket) signedBytes() []byte {
	data := make([]byte, 0, fixedBytes+len(t.Owner.Instance))
	data = append(data, formatVersion, byte(len(t.Owner.Instance)))
	data = append(data, t.Owner.Instance...)
	data = binary.BigEndian.AppendUint64(data, t.Owner.Incarnation)
	data = binary.BigEndian.AppendUint64(data, t.Serial)
	return binary.BigEndian.AppendUint64(data, uint64(t.Issued))
}

// Parse decodes the text of a ticket. It returns a *FormatError if the text is malformed. It does not verify the HMAC,
// which only the owner can.
func Parse(text string) (*Ticket, error) {
	if len(text) > maxTextBytes {
		return nil, &FormatError{Problem: "ticket text is too long"}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, &FormatError{Problem: "ticket text is not base64url"}
	}
	if len(data) < fixedBytes || data[0] != formatVersion || len(data) != fixedBytes+int(data[1]) {
		return nil, &FormatError{Problem: "ticket has an unsupported version or a wrong length"}
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

// signer computes HMACs with one key. It reuses hash states because their initialization costs more than a signature. It
// is safe for concurrent use.
type signer struct{ hmacs sync.Pool }

func newSigner(key Key) *signer {
	return &signer{hmacs: sync.Pool{New: func() any { return hmac.New(sha256.New, key[:]) }}}
}

func (s *signer) sign(t *Ticket) mac {
	h := s.hmacs.Get().(hash.Hash)
	defer s.hmacs.Put(h)
	h.Reset()
	h.Write(t.signedBytes())
	var sum [sha256.Size]byte
	return mac(h.Sum(sum[:0])[:macBytes])
}

func (s *signer) verify(t *Ticket) bool {
	expected := s.sign(t)
	return hmac.Equal(expected[:], t.mac[:])
}
