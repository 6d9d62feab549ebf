package ticket

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the content of a request. A ticket is bound to the digest of the first request that uses it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request. Headers are left out, because a resend may carry other deadlines.
func DigestOf(service, method, uri string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{service, method, uri} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}
