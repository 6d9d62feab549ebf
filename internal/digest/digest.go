// Package digest computes digests that identify requests by their content.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum is the SHA-256 of the content of a request.
type Sum [sha256.Size]byte

// Request returns the digest of a request. uri is the path and query. Headers are not included, because a repeated
// request may carry another deadline. Service, method and URI are prefixed with their lengths, so that different
// requests cannot produce the same input.
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
