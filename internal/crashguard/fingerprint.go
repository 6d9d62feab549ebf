// Package crashguard finds requests that crash the targets that run them, and
// stops sending them. A request is suspect after one crash and is refused after
// two crashes without a complete answer in between that no other request
// explains, after three whatever explains them, and after three with answers in
// between unless it is answered most of the time. Suspects run one at a time and
// never two on one target, so that an innocent request that was in flight beside
// the cause gets its complete answer and is cleared.
//
// Time is an argument: the monotonic time since the start of the process.
package crashguard

import (
	"encoding/hex"

	"github.com/basillink/basillink/internal/digest"
)

// Fingerprint identifies requests with the same content. 128 bits of SHA-256 keep a caller from refusing the
// requests of another by a collision.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The scope says among which requests the content identifies it, and
// the URI is the path and query.
func FingerprintOf(scope, method, uri string, body []byte) Fingerprint {
	sum := digest.Request(scope, method, uri, body)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != 2*len(f) {
		return f, &FormatError{Text: text}
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, &FormatError{Text: text}
	}
	return f, nil
}

// FormatError reports a fingerprint or mark that cannot be decoded.
type FormatError struct{ Text string }

func (e *FormatError) Error() string { return "malformed crash mark: " + e.Text }
