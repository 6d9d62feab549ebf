// Package digest identifies requests by their content.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum is the SHA-256 of a request's content.
type Sum [sha256.Size]byte

// Request returns the digest of a request. The URI is the path and query. Headers are left out, because a resend may
// carry other deadlines. Each part is preceded by its length, so that bytes cannot move from one part to another.
func Request(service, method, uri string, body []byte) Sum {
	h := sha256.New()
	for _, part := range []string{service, method, uri} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Sum(h.Sum(nil))
}
