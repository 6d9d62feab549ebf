package peer

import "fmt"

// MaxPayloadBytes is the maximum size of a rumor's payload. It ensures that a rumor fits into an exchange.
const MaxPayloadBytes = 512

// maxKeyBytes is the maximum size of a rumor's key.
const maxKeyBytes = 128

// Kind is the kind of a rumor. It is part of the wire format.
type Kind string

// Kinds of rumors. This package handles KindMember; the other kinds need a registered Handler.
const (
	// KindMember is the state of a member.
	KindMember Kind = "m"
	// KindDeparture is the departure or return of a target.
	KindDeparture Kind = "d"
	// KindCrash is a crash mark: a request suspected of crashing targets.
	KindCrash Kind = "c"
)

// Rumor is one update that is spread by gossip. A newer rumor replaces a queued one of the same kind and key.
type Rumor struct {
	Kind Kind
	Key  string
	// Payload is opaque to this package and has at most MaxPayloadBytes.
	Payload []byte
}

// RumorSizeError reports a rumor whose key or payload exceeds its limit.
type RumorSizeError struct{ Rumor Rumor }

func (e *RumorSizeError) Error() string {
	return fmt.Sprintf("rumor of kind %q exceeds a limit: key has %d bytes (at most %d), payload has %d bytes (at most %d)",
		e.Rumor.Kind, len(e.Rumor.Key), maxKeyBytes, len(e.Rumor.Payload), MaxPayloadBytes)
}

// Validate returns a *RumorSizeError if the rumor exceeds a limit.
func (r Rumor) Validate() error {
	if len(r.Key) > maxKeyBytes || len(r.Payload) > MaxPayloadBytes {
		return &RumorSizeError{Rumor: r}
	}
	return nil
}

// estimatedBytes returns the approximate encoded size of the rumor.
func (r Rumor) estimatedBytes() int {
	return len(r.Kind) + len(r.Key) + len(r.Payload) + rumorOverheadBytes
}

// rumorOverheadBytes covers the gob field numbers and lengths of a rumor.
const rumorOverheadBytes = 12

// Handler handles the rumors of one kind. Its functions run on the control goroutine and must not block.
type Handler struct {
	// Receive merges a rumor and reports whether it was new. Only new rumors are forwarded, which ends their spread.
	Receive func(Rumor) bool
	// Digest returns a digest of all known rumors of the kind, 0 if there are none. Instances with different digests
	// pull the rumors from each other. If Digest is nil, digests are not compared.
	Digest func() uint64
	// List returns all known rumors of the kind, for instances that missed some. It is required if Digest is set.
	List func() []Rumor
}

// ClosingRecord is one part of the state that an instance hands to its peers before a planned stop.
type ClosingRecord struct {
	Instance    string
	Incarnation uint64
	// Part is the index of this part, from 0 to Parts-1.
	Part    int
	Parts   int
	Payload []byte
}

// MaxClosingPayloadBytes is the maximum payload of one part, so that a part fits into one message.
const MaxClosingPayloadBytes = 48 << 10
