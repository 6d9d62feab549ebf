// Package crashguard detects requests that crash the targets that run them, and
// stops sending them. A request is suspect after one crash. It is refused
//
//   - after two crashes without a complete answer in between, or three if it was
//     answered lately, unless another request was in flight at each of them and
//     explains them,
//   - after three crashes without a complete answer in between, in any case, and
//   - after three crashes in total, unless it is answered most of the time.
//
// It stays refused for as long as it arrives, except for two trials.
//
// Suspects with the same content run one at a time, and a target runs at most
// one suspect at a time. So an innocent request that was in flight together with
// the cause gets a complete answer, which clears it.
//
// Times are monotonic times since the start of the process, passed as arguments.
package crashguard

import (
	"encoding/hex"

	"github.com/basillink/basillink/internal/digest"
)

// Fingerprint identifies requests with the same content. It consists of 128 bits of a SHA-256 hash, so that a caller
// cannot cause the requests of another caller to be refused by constructing a collision.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Requests are only compared within a scope, such as the name of the
// service, or the host of the route: those of different scopes have different fingerprints. The URI is the path
// and query.
func FingerprintOf(scope, method, uri string, body []byte) Fingerprint {
	sum := digest.Request(scope, method, uri, body)
	f := Fingerprint(sum[:len(Fingerprint{})])
	f[0] &^= callerBit
	return f
}

// callerBit is set in the first byte of the fingerprints that OfCaller returns.
const callerBit = 0x80

// OfCaller returns the fingerprint of the requests with the same content that come from one address. The guard refuses these
// independently of those of other callers, in addition to Guard.Admit.
func (f Fingerprint) OfCaller(address string) Fingerprint {
	sum := digest.Request("caller", address, "", f[:])
	of := Fingerprint(sum[:len(f)])
	of[0] |= callerBit
	return of
}

func (f Fingerprint) isOfCaller() bool { return f[0]&callerBit != 0 }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of Fingerprint.String. The error is a *FormatError.
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

func (e *FormatError) Error() string { return "malformed fingerprint or crash mark: " + e.Text }
