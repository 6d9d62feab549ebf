package peer

import "fmt"

// MaxPayloadBytes bounds the payload of a rumor, so that one rumor always fits into an exchange.
const MaxPayloadBytes = 512

// maxKeyBytes bounds the key of a rumor.
const maxKeyBytes = 128

// Kind is the kind of a rumor.
type Kind string

// Kinds of rumors. Further kinds are added by registering a Handler.
const (
	// KindMember is a member's state; it is handled by this package.
	KindMember Kind = "m"
	// KindDeparture is a target that is leaving or is back.
	KindDeparture Kind = "d"
	// KindCrash is a request suspected of crashing targets.
	KindCrash Kind = "c"
)

// Rumor is one piece of news. A newer rumor replaces a queued one of the same kind and key.
type Rumor struct {
	Kind Kind
	Key  string
	// Payload is opaque to this package, at most MaxPayloadBytes.
	Payload []byte
}

// RumorError reports a rumor that exceeds a limit.
type RumorSizeError struct{ Rumor Rumor }

func (e *RumorSizeError) Error() string {
	return fmt.Sprintf("rumor of kind %q: key has %d bytes of at most %d, payload has %d of at most %d",
		e.Rumor.Kind, len(e.Rumor.Key), maxKeyBytes, len(e.Rumor.Payload), MaxPayloadBytes)
}

// Check returns a *RumorError for a rumor that exceeds a limit.
func (r Rumor) Validate() error {
	if len(r.Key) > maxKeyBytes || len(r.Payload) > MaxPayloadBytes {
		return &RumorSizeError{Rumor: r}
	}
	return nil
}

func (r Rumor) bytes() int { return len(r.Kind) + len(r.Key) + len(r.Payload) + rumorOverheadBytes }

// rumorOverheadBytes covers the gob field numbers and lengths of a rumor.
const rumorOverheadBytes = 12

// Handler handles the rumors of one kind. Its functions run on the control goroutine and must not block.
type Handler struct {
	// Receive merges a rumor and reports whether it was news. Only news is passed on, which ends its spread.
	Receive func(Rumor) bool
	// Digest identifies everything known of the kind, 0 for nothing. When two instances disagree they pull
	// from each other. Nil disables the comparison.
	Digest func() uint64
	// List returns everything known of the kind, for instances that missed rumors. Required with Digest.
	List func() []Rumor
}

// ClosingRecord is one part of what an instance that stops as planned hands to its peers.
type ClosingRecord struct {
	Instance    string
	Incarnation uint64
	// Part counts from 0 to Parts-1.
	Part    int
	Parts   int
	Payload []byte
}

// MaxClosingPayloadBytes bounds the payload of one part, so that it fits into one message.
const MaxClosingPayloadBytes = 48 << 10
